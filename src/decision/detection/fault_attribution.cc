#include "decision/detection/fault_attribution.h"

#include <cmath>

namespace flamingoyoke {
namespace {

// Returns the log of the probability of the outcome sequence, with the failure
// rate integrated out over a uniform prior on [0, 1].
auto LogMarginalLikelihood(const OutcomeCounts& counts) -> double {
  const auto failures = static_cast<double>(counts.failures);
  const auto successes = static_cast<double>(counts.trials) - failures;
  return std::lgamma(failures + 1) + std::lgamma(successes + 1) -
         std::lgamma(failures + successes + 2);
}

auto LogLikelihood(const OutcomeCounts& counts, double rate) -> double {
  const auto failures = static_cast<double>(counts.failures);
  const auto successes = static_cast<double>(counts.trials) - failures;
  return failures * std::log(rate) + successes * std::log(1 - rate);
}

auto Sum(OutcomeCounts first, const OutcomeCounts& second) -> OutcomeCounts {
  first += second;
  return first;
}

}  // namespace

auto TargetFaultLogBayesFactor(const FaultAttribution& comparison) -> double {
  const auto& [own_on_target, own_on_other_targets, borrowers_on_target,
               healthy_failure_rate] = comparison;
  const double target_fails =
      LogMarginalLikelihood(Sum(own_on_target, borrowers_on_target)) +
      LogLikelihood(own_on_other_targets, healthy_failure_rate);
  const double callers_fail =
      LogMarginalLikelihood(Sum(own_on_target, own_on_other_targets)) +
      LogLikelihood(borrowers_on_target, healthy_failure_rate);
  return target_fails - callers_fail;
}

}  // namespace flamingoyoke
