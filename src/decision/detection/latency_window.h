#ifndef FLAMINGOYOKE_DECISION_DETECTION_LATENCY_WINDOW_H_
#define FLAMINGOYOKE_DECISION_DETECTION_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// The 95th percentile of recent response times, from a histogram whose bucket
// bounds are 10% apart. Keeps two generations of at least
// kMinGenerationDuration and kMinSamples samples each, so samples of targets
// with little traffic are kept longer. Not thread-safe.
class LatencyWindow {
 public:
  static constexpr Duration kMinGenerationDuration = std::chrono::seconds(1);
  // With fewer samples, the p95 is close to the maximum.
  static constexpr std::uint32_t kMinSamples = 20;
  // Maximum age of the cached p95.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(200);

  // Adds a response time. `now` must not decrease between calls.
  auto Add(Duration latency, TimePoint now) -> void;

  // Returns the p95, rounded up to a bucket bound, or nothing with fewer than
  // kMinSamples samples.
  auto P95(TimePoint now) -> std::optional<Duration>;

  // Removes all samples.
  auto Reset() -> void;

 private:
  // Bounds from 100 us to about 130 s, by factors of 1.1.
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
