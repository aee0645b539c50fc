#include "decision/detection/member_stats.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

// Number of samples after which the weight of an older p95 has decayed to 1/e.
// A report covers few samples, so its p95 is close to their maximum.
constexpr double kSmoothingSamples = 40;
constexpr Duration kPeakInterval = std::chrono::seconds(1);
// A member without outcomes for this interval counts as degraded, if at least
// kMinExpectedOutcomes were expected in it.
constexpr Duration kSilenceInterval = std::chrono::milliseconds(250);
constexpr double kMinExpectedOutcomes = 5;

}  // namespace

auto MemberStats::OnReport(const LoadReport& report, TimePoint now) -> void {
  const std::uint64_t trials = std::uint64_t{report.succeeded} + report.failed;
  outcomes_.Add({trials, report.failed}, now);
  last_report_ = now;
  if (report.succeeded == 0 || report.p95_latency <= Duration::zero()) {
    return;
  }
  is_slow_ =
      has_latency_ && static_cast<double>(report.median_latency.count()) > p95_;
  const auto p95 = static_cast<double>(report.p95_latency.count());
  const double samples = report.succeeded;
  const double kept = has_latency_ ? std::exp(-samples / kSmoothingSamples) : 0;
  p95_ = kept * p95_ + (1 - kept) * p95;
  has_latency_ = true;
  if (now - peak_start_ >= kPeakInterval) {
    previous_peak_ =
        now - peak_start_ < 2 * kPeakInterval ? peak_ : Duration::zero();
    peak_ = Duration::zero();
    peak_start_ = now;
  }
  peak_ = std::max(peak_, report.p95_latency);
}

auto MemberStats::P95(TimePoint now) const -> std::optional<Duration> {
  if (!has_latency_ || now - last_report_ >= kMaxReportAge) {
    return std::nullopt;
  }
  return Duration(static_cast<Duration::rep>(p95_));
}

auto MemberStats::PeakP95(TimePoint now) const -> std::optional<Duration> {
  if (!has_latency_ || now - last_report_ >= kMaxReportAge) {
    return std::nullopt;
  }
  return std::max(peak_, previous_peak_);
}

auto MemberStats::IsDegraded(TimePoint now) -> bool {
  if (now - last_report_ >= kMaxReportAge) {
    return false;
  }
  if (is_slow_ && now - last_report_ < 2 * kSilenceInterval) {
    return true;
  }
  const auto recent = outcomes_.Since(now - kSilenceInterval, now);
  if (2 * recent.failures > recent.trials) {
    return true;
  }
  constexpr double kWindowSeconds =
      ToSeconds(RateWindow::kBucketDuration) * RateWindow::kBucketCount;
  const double rate =
      static_cast<double>(outcomes_.Total(now).trials) / kWindowSeconds;
  return recent.trials == 0 &&
         rate * ToSeconds(kSilenceInterval) >= kMinExpectedOutcomes;
}

}  // namespace flamingoyoke
