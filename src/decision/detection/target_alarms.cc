#include "decision/detection/target_alarms.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

constexpr Duration kRatiosRefreshInterval = std::chrono::seconds(1);
constexpr Duration kSlowThresholdRefresh = std::chrono::milliseconds(200);
constexpr int kSlowFactor = 3;
// Response times below this never count as slow. A few milliseconds of jitter
// do no harm.
constexpr Duration kMinSlowThreshold = std::chrono::milliseconds(20);
// The p95 of the peers takes this long to reflect a slowdown of the service.
constexpr Duration kSlowConfirmationDelay = std::chrono::milliseconds(700);

// Below this, server errors are attributed to the callers of this node. If
// requests of the callers fail everywhere, the factor reaches this value by
// chance once in e^9 alarms.
constexpr double kMinTargetFaultLogBayesFactor = 9;
// The reports of the peers take this long to show a fault that began everywhere
// at once: the report interval of 200 ms, the one-way delay and the inaccuracy
// of timers.
constexpr Duration kPeerReportLag = std::chrono::milliseconds(300);
// Without other outcomes to compare with, the alarm is accepted after this
// time, in which a target with 20 requests/s gets ten requests.
constexpr Duration kComparisonTimeout = std::chrono::milliseconds(500);

}  // namespace

auto TargetAlarms::Add(FailureClass failure_class,
                       bool failed,
                       OutcomeSource source,
                       ServiceStats& stats,
                       TimePoint now) -> void {
  auto& test = TestOf(failure_class);
  stats.Owned(target_).Rates(failure_class).Add({1, failed ? 1U : 0U}, now);
  if (failure_class == FailureClass::kServerError &&
      source == OutcomeSource::kOwnCallers) {
    stats.Owned(target_).CallerErrors().Add({1, failed ? 1U : 0U}, now);
  }
  if (test.cusum.value() <= 0) {
    test.reported = OutcomeCounts();
    if (!failed) {
      return;
    }
  }
  RefreshRatios(test, failure_class, stats, now);
  test.cusum.Add(failed, test.ratios, now);
  if (source == OutcomeSource::kBorrowers) {
    test.reported += {1, failed ? 1U : 0U};
  }
}

auto TargetAlarms::AddLatency(Duration latency,
                              ServiceStats& stats,
                              TimePoint now) -> void {
  if (now - slow_threshold_at_ >= kSlowThresholdRefresh) {
    slow_threshold_at_ = now;
    const auto p95 = stats.PeerP95(target_, now);
    slow_threshold_ =
        p95 ? std::optional(std::max(kSlowFactor * *p95, kMinSlowThreshold))
            : std::nullopt;
  }
  stats.Owned(target_).Latency().Add(latency, now);
  if (slow_threshold_) {
    Add(FailureClass::kSlow, latency > *slow_threshold_,
        OutcomeSource::kOwnCallers, stats, now);
  }
}

auto TargetAlarms::HasAlarm() const -> bool {
  return std::any_of(tests_.begin(), tests_.end(),
                     [](const auto& test) { return test.cusum.IsAlarmed(); });
}

auto TargetAlarms::ConfirmedAlarm(ServiceStats& stats, TimePoint now) const
    -> std::optional<FailureClass> {
  for (const auto& entry : EnumNames<FailureClass>::kTable) {
    if (TestOf(entry.value).cusum.IsAlarmed() &&
        IsConfirmedByPeers(entry.value, stats, now)) {
      return entry.value;
    }
  }
  return std::nullopt;
}

auto TargetAlarms::FailureRate(FailureClass failure_class) const -> double {
  const auto& counts = TestOf(failure_class).cusum.counts();
  if (counts.trials == 0) {
    return 0;
  }
  return static_cast<double>(counts.failures) /
         static_cast<double>(counts.trials);
}

auto TargetAlarms::Reset(double head_start, TimePoint now) -> void {
  for (auto& test : tests_) {
    test.cusum.Reset(head_start, now);
    test.reported = OutcomeCounts();
  }
}

auto TargetAlarms::RefreshRatios(SequentialTest& test,
                                 FailureClass failure_class,
                                 ServiceStats& stats,
                                 TimePoint now) const -> void {
  if (now - test.ratios_at < kRatiosRefreshInterval) {
    return;
  }
  test.ratios_at = now;
  test.ratios = LogLikelihoodRatiosFor(
      stats.PeerFailureRate(target_, failure_class, now));
}

auto TargetAlarms::IsCallerFault(ServiceStats& stats,
                                 double healthy_failure_rate,
                                 TimePoint now) const -> bool {
  const auto& test = TestOf(FailureClass::kServerError);
  const auto onset = test.cusum.onset();
  FaultAttribution comparison;
  comparison.own_on_target = test.cusum.counts();
  comparison.own_on_target.trials -= test.reported.trials;
  comparison.own_on_target.failures -= test.reported.failures;
  comparison.borrowers_on_target = test.reported;
  comparison.own_on_other_targets =
      stats.CallerErrorsElsewhereSince(target_, onset, now);
  comparison.healthy_failure_rate = healthy_failure_rate;
  const bool has_comparison = comparison.own_on_other_targets.trials +
                                  comparison.borrowers_on_target.trials >
                              0;
  if (!has_comparison && now - onset >= kComparisonTimeout) {
    return false;
  }
  return TargetFaultLogBayesFactor(comparison) < kMinTargetFaultLogBayesFactor;
}

auto TargetAlarms::IsConfirmedByPeers(FailureClass failure_class,
                                      ServiceStats& stats,
                                      TimePoint now) const -> bool {
  const auto& cusum = TestOf(failure_class).cusum;
  if (now - cusum.onset() < kPeerReportLag) {
    return false;
  }
  const double peer_rate =
      stats.PeerFailureRateSince(target_, failure_class, cusum.onset(), now);
  if (cusum.ValueForHealthyRate(peer_rate) < Cusum::kThreshold) {
    return false;
  }
  if (failure_class == FailureClass::kServerError) {
    return !IsCallerFault(stats, peer_rate, now);
  }
  if (failure_class != FailureClass::kSlow) {
    return true;
  }
  if (now - cusum.onset() < kSlowConfirmationDelay) {
    return false;
  }
  const auto own = stats.Owned(target_).Latency().P95(now);
  const auto peers = stats.PeerP95(target_, now);
  return own && peers && *own > kSlowFactor * *peers;
}

}  // namespace flamingoyoke
