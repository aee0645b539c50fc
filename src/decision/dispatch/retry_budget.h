#ifndef FLAMINGOYOKE_DECISION_DISPATCH_RETRY_BUDGET_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Limits retries and hedged attempts to a share of the first attempts in a
// sliding window of 10 s, so that they don't multiply the load when a whole
// service fails. Not thread-safe.
class RetryBudget {
 public:
  // `share` is 0 to 1; 0 disables retries. `min_retries` are allowed per window
  // even after few first attempts; otherwise a service with little traffic
  // could never retry.
  auto Configure(double share, std::uint64_t min_retries = kMinRetries)
      -> void {
    share_ = share;
    min_retries_ = min_retries;
  }

  // Counts the first attempt of a request.
  auto OnFirstAttempt(TimePoint now) -> void;

  // Consumes one retry from the budget, or returns false if it is exhausted.
  auto Allow(TimePoint now) -> bool;

  // Returns whether Allow would succeed.
  [[nodiscard]] auto HasBudget(TimePoint now) const -> bool;

  static constexpr std::uint64_t kMinRetries = 1;

 private:
  struct Bucket {
    std::int64_t second = -1;
    std::uint64_t first_attempts = 0;
    std::uint64_t retries = 0;
  };

  auto Current(TimePoint now) -> Bucket&;

  double share_ = 0;
  std::uint64_t min_retries_ = kMinRetries;
  std::array<Bucket, 10> buckets_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_RETRY_BUDGET_H_
