#ifndef FLAMINGOYOKE_DECISION_DETECTION_LATENCY_WINDOW_H_
#define FLAMINGOYOKE_DECISION_DETECTION_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// Quantiles of recent response times from a histogram with buckets 10% apart.
// Two generations of at least kMinGenerationDuration and kMinSamples samples
// each are kept, so quiet targets keep their figures longer. Not thread-safe.
class LatencyWindow {
 public:
  static constexpr Duration kMinGenerationDuration = std::chrono::seconds(1);
  // A p95 of fewer samples is little more than the largest one.
  static constexpr std::uint32_t kMinSamples = 20;
  // Returned quantiles are at most this old.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(200);

  // Adds a response time at `now`, which must not go back.
  auto Add(Duration latency, TimePoint now) -> void;

  // Returns the response time that 95% do not exceed, rounded up to a bucket,
  // or nothing with fewer than kMinSamples samples.
  auto P95(TimePoint now) -> std::optional<Duration>;

  // Forgets all samples.
  auto Reset() -> void;

 private:
  // From 100 us by factors of 1.1 to about 130 s.
  static constexpr std::size_t kBucketCount = 148;
  using Histogram = std::array<std::uint32_t, kBucketCount>;

  static auto BucketOf(Duration latency) -> std::size_t;
  auto Compute() const -> std::optional<Duration>;

  Histogram current_ = {};
  Histogram previous_ = {};
  std::uint32_t current_count_ = 0;
  std::uint32_t previous_count_ = 0;
  TimePoint generation_start_;
  TimePoint computed_at_;
  bool is_computed_ = false;
  std::optional<Duration> p95_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_LATENCY_WINDOW_H_
