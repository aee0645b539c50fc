#include "decision/quota/demand_estimate.h"

#include <algorithm>
#include <cmath>

#include "decision/quota/quota_timing.h"

namespace flamingoyoke {
namespace {

constexpr double kFastSeconds = ToSeconds(kFastDemandTime);
constexpr double kSlowSeconds = ToSeconds(kSlowDemandTime);
// The short average says something only with a few requests in it.
constexpr double kMinFastRate = 10;
// Requests of one moment, as of one page, are no sign of a short gap.
constexpr double kMinStoppedGap = 0.05;

}  // namespace

auto DemandEstimate::Add(TimePoint now) -> void {
  const auto gap = ToSeconds(now - last_);
  fast_ = fast_ * std::exp(-gap / kFastSeconds) + 1 / kFastSeconds;
  slow_ = slow_ * std::exp(-gap / kSlowSeconds) + 1 / kSlowSeconds;
  last_ = now;
}

auto DemandEstimate::Rate(TimePoint now, double stopped_gaps) const -> double {
  const auto gap = ToSeconds(now - last_);
  const auto fast = fast_ * std::exp(-gap / kFastSeconds);
  // The average starts at zero, so it is low at first.
  const auto filled =
      1 - std::exp(-std::max(ToSeconds(last_ - since_), 0.5) / kSlowSeconds);
  const auto before = slow_ / filled;
  const auto slow = before * std::exp(-gap / kSlowSeconds);
  const auto samples = slow_ * kSlowSeconds * std::exp(-gap / kSlowSeconds);
  if (samples < kMinDemandSamples ||
      gap > std::max(kMinStoppedGap, stopped_gaps / before)) {
    return 0;
  }
  // Three standard deviations of the short average.
  const auto noise = 3 * std::sqrt(slow / (2 * kFastSeconds));
  const bool has_risen = fast >= kMinFastRate && fast > slow + noise;
  const bool has_fallen = fast + noise < slow;
  return has_risen || has_fallen ? fast : slow;
}

}  // namespace flamingoyoke
