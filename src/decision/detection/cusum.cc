#include "decision/detection/cusum.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

// An ill target has at least this many times the odds of failure of a healthy
// one where healthy ones fail often.
constexpr double kLeastOddsRatio = 4;
constexpr double kMostHealthyRate = 0.9;

auto Odds(double rate) -> double {
  return rate / (1 - rate);
}

}  // namespace

auto WeightsFor(double healthy_rate) -> OutcomeWeights {
  const double healthy =
      std::clamp(healthy_rate, kLeastHealthyRate, kMostHealthyRate);
  const double odds = std::max(Odds(kIllRate), kLeastOddsRatio * Odds(healthy));
  const double ill = odds / (1 + odds);
  return {std::log((1 - ill) / (1 - healthy)), std::log(ill / healthy)};
}

auto Cusum::Add(bool failed, const OutcomeWeights& weights, TimePoint now)
    -> void {
  if (value_ <= 0 && !failed) {
    return;
  }
  if (value_ <= 0) {
    onset_ = now;
    counts_ = RateCounts();
  }
  ++counts_.trials;
  counts_.failures += failed ? 1 : 0;
  value_ += failed ? weights.on_failure : weights.on_success;
  value_ = std::clamp(value_, 0.0, kCeiling);
  if (value_ <= 0) {
    head_start_ = 0;
    counts_ = RateCounts();
  }
}

auto Cusum::Reset(double head_start, TimePoint now) -> void {
  onset_ = now;
  value_ = head_start;
  head_start_ = head_start;
  counts_ = RateCounts();
}

auto Cusum::ValueAgainst(double healthy_rate) const -> double {
  const auto weights = WeightsFor(healthy_rate);
  const auto failures = static_cast<double>(counts_.failures);
  const auto successes = static_cast<double>(counts_.trials) - failures;
  return head_start_ + failures * weights.on_failure +
         successes * weights.on_success;
}

}  // namespace flamingoyoke
