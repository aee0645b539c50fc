#ifndef FLAMINGOYOKE_DECISION_DETECTION_RATE_WINDOW_H_
#define FLAMINGOYOKE_DECISION_DETECTION_RATE_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Number of outcomes, and of failures among them.
struct OutcomeCounts {
  std::uint64_t trials = 0;
  std::uint64_t failures = 0;

  auto operator+=(const OutcomeCounts& other) -> OutcomeCounts& {
    trials += other.trials;
    failures += other.failures;
    return *this;
  }
};

// Sliding window of outcome counts in buckets of time, so that two targets or
// groups can be compared over the same interval. Not thread-safe.
class RateWindow {
 public:
  static constexpr Duration kBucketDuration = std::chrono::milliseconds(100);
  // 12.8 s: several times the 4 s within which a target with a partial failure
  // must be detected.
  static constexpr std::size_t kBucketCount = 128;

  // Adds outcomes. `now` must not decrease between calls.
  auto Add(const OutcomeCounts& counts, TimePoint now) -> void;

  // Returns the counts of the whole window, in amortized constant time.
  auto Total(TimePoint now) -> OutcomeCounts;

  // Returns the counts since `start`, rounded down to a bucket.
  [[nodiscard]] auto Since(TimePoint start, TimePoint now) const
      -> OutcomeCounts;

 private:
  static auto BucketNumber(TimePoint time) -> std::int64_t;
  auto Expire(std::int64_t current) -> void;

  std::array<OutcomeCounts, kBucketCount> buckets_ = {};
  std::int64_t newest_ = 0;
  OutcomeCounts total_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_RATE_WINDOW_H_
