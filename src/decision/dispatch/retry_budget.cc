#include "decision/dispatch/retry_budget.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

auto SecondOf(TimePoint now) -> std::int64_t {
  return std::chrono::floor<std::chrono::seconds>(now.time_since_epoch())
      .count();
}

}  // namespace

auto RetryBudget::Current(TimePoint now) -> Bucket& {
  const auto second = SecondOf(now);
  auto& bucket = buckets_[static_cast<std::size_t>(second) % buckets_.size()];
  if (bucket.second != second) {
    bucket = {.second = second};
  }
  return bucket;
}

auto RetryBudget::OnFirstAttempt(TimePoint now) -> void {
  ++Current(now).first_attempts;
}

auto RetryBudget::HasBudget(TimePoint now) const -> bool {
  if (share_ <= 0) {
    return false;
  }
  const auto oldest =
      SecondOf(now) - static_cast<std::int64_t>(buckets_.size());
  std::uint64_t first_attempts = 0;
  std::uint64_t retries = 0;
  for (const auto& bucket : buckets_) {
    if (bucket.second > oldest) {
      first_attempts += bucket.first_attempts;
      retries += bucket.retries;
    }
  }
  const auto allowed = std::max(
      min_retries_,
      static_cast<std::uint64_t>(share_ * static_cast<double>(first_attempts)));
  return retries < allowed;
}

auto RetryBudget::Allow(TimePoint now) -> bool {
  if (!HasBudget(now)) {
    return false;
  }
  ++Current(now).retries;
  return true;
}

}  // namespace flamingoyoke
