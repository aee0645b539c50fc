#include "decision/detection/rate_window.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

auto SlotOf(std::int64_t number) -> std::size_t {
  return static_cast<std::size_t>(number) % RateWindow::kBuckets;
}

}  // namespace

auto RateWindow::Add(const RateCounts& counts, TimePoint now) -> void {
  Expire(NumberOf(now));
  buckets_[SlotOf(newest_)] += counts;
  total_ += counts;
}

auto RateWindow::Total(TimePoint now) -> RateCounts {
  Expire(NumberOf(now));
  return total_;
}

auto RateWindow::Since(TimePoint start, TimePoint now) const -> RateCounts {
  const auto oldest = std::max<std::int64_t>(
      {NumberOf(start), 0,
       NumberOf(now) - static_cast<std::int64_t>(kBuckets) + 1,
       newest_ - static_cast<std::int64_t>(kBuckets) + 1});
  RateCounts sum;
  for (auto number = oldest; number <= newest_; ++number) {
    sum += buckets_[SlotOf(number)];
  }
  return sum;
}

auto RateWindow::NumberOf(TimePoint time) -> std::int64_t {
  return std::max<std::int64_t>(time.time_since_epoch() / kBucket, 0);
}

auto RateWindow::Expire(std::int64_t current) -> void {
  if (current <= newest_) {
    return;
  }
  const auto first =
      std::max(newest_ + 1, current - static_cast<std::int64_t>(kBuckets) + 1);
  for (auto number = first; number <= current; ++number) {
    auto& bucket = buckets_[SlotOf(number)];
    total_.trials -= bucket.trials;
    total_.failures -= bucket.failures;
    bucket = RateCounts();
  }
  newest_ = current;
}

}  // namespace flamingoyoke
