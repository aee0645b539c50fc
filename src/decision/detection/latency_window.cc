#include "decision/detection/latency_window.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

constexpr double kFirstBoundMicroseconds = 100;
constexpr double kBucketRatio = 1.1;
constexpr double kQuantile = 0.95;

}  // namespace

auto LatencyWindow::Add(Duration latency, TimePoint now) -> void {
  if (now - generation_start_ >= kMinGenerationDuration &&
      current_count_ >= kMinSamples) {
    previous_ = current_;
    previous_count_ = current_count_;
    current_ = Histogram();
    current_count_ = 0;
    generation_start_ = now;
  }
  ++current_[BucketOf(latency)];
  ++current_count_;
}

auto LatencyWindow::P95(TimePoint now) -> std::optional<Duration> {
  if (!is_computed_ || now - computed_at_ >= kRefreshInterval) {
    p95_ = Compute();
    computed_at_ = now;
    is_computed_ = true;
  }
  return p95_;
}

auto LatencyWindow::Reset() -> void {
  *this = LatencyWindow();
}

auto LatencyWindow::BucketOf(Duration latency) -> std::size_t {
  const auto microseconds = static_cast<double>(latency.count());
  if (microseconds <= kFirstBoundMicroseconds) {
    return 0;
  }
  static const double scale = 1 / std::log(kBucketRatio);
  const auto bucket =
      std::ceil(std::log(microseconds / kFirstBoundMicroseconds) * scale);
  return std::min(static_cast<std::size_t>(bucket), kBucketCount - 1);
}

auto LatencyWindow::Compute() const -> std::optional<Duration> {
  const auto total = current_count_ + previous_count_;
  if (total < kMinSamples) {
    return std::nullopt;
  }
  const auto rank = static_cast<std::uint32_t>(std::ceil(kQuantile * total));
  std::uint32_t seen = 0;
  std::size_t bucket = 0;
  for (; bucket < kBucketCount; ++bucket) {
    seen += current_[bucket] + previous_[bucket];
    if (seen >= rank) {
      break;
    }
  }
  const auto bound = kFirstBoundMicroseconds *
                     std::pow(kBucketRatio, static_cast<double>(bucket));
  return Duration(static_cast<Duration::rep>(bound));
}

}  // namespace flamingoyoke
