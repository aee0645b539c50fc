#include "decision/detection/caller_check.h"

#include <cmath>

namespace flamingoyoke {
namespace {

// Log of the probability of `counts` in their order, for a failure rate that
// may be anything from 0 to 1.
auto LogOfAnyRate(const RateCounts& counts) -> double {
  const auto failures = static_cast<double>(counts.failures);
  const auto successes = static_cast<double>(counts.trials) - failures;
  return std::lgamma(failures + 1) + std::lgamma(successes + 1) -
         std::lgamma(failures + successes + 2);
}

auto LogOfRate(const RateCounts& counts, double rate) -> double {
  const auto failures = static_cast<double>(counts.failures);
  const auto successes = static_cast<double>(counts.trials) - failures;
  return failures * std::log(rate) + successes * std::log(1 - rate);
}

auto Sum(RateCounts first, const RateCounts& second) -> RateCounts {
  first += second;
  return first;
}

}  // namespace

auto EvidenceAgainstTarget(const CallerComparison& comparison) -> double {
  const auto& [own_here, own_elsewhere, others_here, healthy_rate] = comparison;
  const double target_fails = LogOfAnyRate(Sum(own_here, others_here)) +
                              LogOfRate(own_elsewhere, healthy_rate);
  const double callers_fail = LogOfAnyRate(Sum(own_here, own_elsewhere)) +
                              LogOfRate(others_here, healthy_rate);
  return target_fails - callers_fail;
}

}  // namespace flamingoyoke
