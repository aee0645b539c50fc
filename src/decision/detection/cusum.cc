#include "decision/detection/cusum.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

// Minimum odds ratio of failure between an unhealthy and a healthy target. It
// applies where healthy targets fail often.
constexpr double kMinOddsRatio = 4;
constexpr double kMaxHealthyFailureRate = 0.9;

auto Odds(double rate) -> double {
  return rate / (1 - rate);
}

}  // namespace

auto LogLikelihoodRatiosFor(double healthy_failure_rate)
    -> LogLikelihoodRatios {
  const double healthy = std::clamp(
      healthy_failure_rate, kMinHealthyFailureRate, kMaxHealthyFailureRate);
  const double odds =
      std::max(Odds(kUnhealthyFailureRate), kMinOddsRatio * Odds(healthy));
  const double unhealthy = odds / (1 + odds);
  return {std::log((1 - unhealthy) / (1 - healthy)),
          std::log(unhealthy / healthy)};
}

auto Cusum::Add(bool failed, const LogLikelihoodRatios& ratios, TimePoint now)
    -> void {
  if (value_ <= 0 && !failed) {
    return;
  }
  if (value_ <= 0) {
    onset_ = now;
    counts_ = OutcomeCounts();
  }
  ++counts_.trials;
  counts_.failures += failed ? 1 : 0;
  value_ += failed ? ratios.on_failure : ratios.on_success;
  value_ = std::clamp(value_, 0.0, kMaxValue);
  if (value_ <= 0) {
    head_start_ = 0;
    counts_ = OutcomeCounts();
  }
}

auto Cusum::Reset(double head_start, TimePoint now) -> void {
  onset_ = now;
  value_ = head_start;
  head_start_ = head_start;
  counts_ = OutcomeCounts();
}

auto Cusum::ValueForHealthyRate(double healthy_failure_rate) const -> double {
  const auto ratios = LogLikelihoodRatiosFor(healthy_failure_rate);
  const auto failures = static_cast<double>(counts_.failures);
  const auto successes = static_cast<double>(counts_.trials) - failures;
  return head_start_ + failures * ratios.on_failure +
         successes * ratios.on_success;
}

}  // namespace flamingoyoke
