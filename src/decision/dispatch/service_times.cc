#include "decision/dispatch/service_times.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

constexpr double kFirstBucketUs = 100;
constexpr double kBucketsPerDoubling = 4;

// Total weight at which all weights are halved: enough samples for a stable
// p95, while a change of the service time shows after a few hundred responses.
constexpr double kMaxSamples = 2000;

}  // namespace

auto ServiceTimes::Add(WorkClass work_class, Duration duration) -> void {
  auto& histogram = histograms_[static_cast<std::size_t>(work_class)];
  const auto us =
      static_cast<double>(std::max<Duration::rep>(duration.count(), 1));
  const double position =
      std::ceil(std::log2(us / kFirstBucketUs) * kBucketsPerDoubling);
  const auto bucket = static_cast<std::size_t>(
      std::clamp(position, 0.0, static_cast<double>(kBuckets - 1)));
  histogram.counts[bucket] += 1;
  histogram.count += 1;
  histogram.sum_us += us;
  if (histogram.count < kMaxSamples) {
    return;
  }
  for (auto& count : histogram.counts) {
    count /= 2;
  }
  histogram.count /= 2;
  histogram.sum_us /= 2;
}

auto ServiceTimes::Mean(WorkClass work_class) const -> Duration {
  const auto& histogram = HistogramFor(work_class);
  if (histogram.count < kMinSamples) {
    return Duration::zero();
  }
  return Duration(
      static_cast<Duration::rep>(histogram.sum_us / histogram.count));
}

auto ServiceTimes::Quantile(WorkClass work_class, double quantile) const
    -> Duration {
  const auto& histogram = HistogramFor(work_class);
  if (histogram.count < kMinSamples) {
    return Duration::zero();
  }
  double below = 0;
  std::size_t bucket = 0;
  for (; bucket + 1 < kBuckets; ++bucket) {
    below += histogram.counts[bucket];
    if (below >= quantile * histogram.count) {
      break;
    }
  }
  return Duration(static_cast<Duration::rep>(
      kFirstBucketUs *
      std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling)));
}

}  // namespace flamingoyoke
