#include "decision/detection/rate_window.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

auto BucketIndex(std::int64_t number) -> std::size_t {
  return static_cast<std::size_t>(number) % RateWindow::kBucketCount;
}

}  // namespace

auto RateWindow::Add(const OutcomeCounts& counts, TimePoint now) -> void {
  Expire(BucketNumber(now));
  buckets_[BucketIndex(newest_)] += counts;
  total_ += counts;
}

auto RateWindow::Total(TimePoint now) -> OutcomeCounts {
  Expire(BucketNumber(now));
  return total_;
}

auto RateWindow::Since(TimePoint start, TimePoint now) const -> OutcomeCounts {
  const auto oldest = std::max<std::int64_t>(
      {BucketNumber(start), 0,
       BucketNumber(now) - static_cast<std::int64_t>(kBucketCount) + 1,
       newest_ - static_cast<std::int64_t>(kBucketCount) + 1});
  OutcomeCounts sum;
  for (auto number = oldest; number <= newest_; ++number) {
    sum += buckets_[BucketIndex(number)];
  }
  return sum;
}

auto RateWindow::BucketNumber(TimePoint time) -> std::int64_t {
  return std::max<std::int64_t>(time.time_since_epoch() / kBucketDuration, 0);
}

auto RateWindow::Expire(std::int64_t current) -> void {
  if (current <= newest_) {
    return;
  }
  const auto first = std::max(
      newest_ + 1, current - static_cast<std::int64_t>(kBucketCount) + 1);
  for (auto number = first; number <= current; ++number) {
    auto& bucket = buckets_[BucketIndex(number)];
    total_.trials -= bucket.trials;
    total_.failures -= bucket.failures;
    bucket = OutcomeCounts();
  }
  newest_ = current;
}

}  // namespace flamingoyoke
