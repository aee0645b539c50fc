#include "decision/detection/target_alarms.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

constexpr Duration kWeightsRefresh = std::chrono::seconds(1);
constexpr Duration kSlowLimitRefresh = std::chrono::milliseconds(200);
constexpr int kSlowFactor = 3;
// Response times below this are never slow: a few milliseconds of jitter
// harm nobody.
constexpr Duration kLeastSlow = std::chrono::milliseconds(20);
// The p95 of the peers needs this long to follow a slow-down of the service.
constexpr Duration kSlowConfirmation = std::chrono::milliseconds(700);

// Evidence against the target rather than the callers of this node. Callers
// whose requests fail everywhere reach it by chance once in e^9 times, on top
// of the test itself.
constexpr double kLeastEvidence = 9;
// Reports of the peers need this long to show a fault that began everywhere
// at once: a report interval of 200 ms, one way and the slack of timers.
constexpr Duration kPeerReportLag = std::chrono::milliseconds(300);
// Without any other work to compare with, the test stands alone after this;
// a target with 20 requests/s gets ten of them in this time.
constexpr Duration kComparisonPatience = std::chrono::milliseconds(500);

}  // namespace

auto TargetAlarms::Add(FailureClass sort,
                       bool failed,
                       OutcomeSource source,
                       ServiceEvidence& evidence,
                       TimePoint now) -> void {
  auto& test = TestOf(sort);
  evidence.Own(target_).Rates(sort).Add({1, failed ? 1U : 0U}, now);
  if (sort == FailureClass::kServerError &&
      source == OutcomeSource::kOwnCallers) {
    evidence.Own(target_).Callers().Add({1, failed ? 1U : 0U}, now);
  }
  if (test.cusum.value() <= 0) {
    test.reported = RateCounts();
    if (!failed) {
      return;
    }
  }
  RefreshWeights(test, sort, evidence, now);
  test.cusum.Add(failed, test.weights, now);
  if (source == OutcomeSource::kBorrowers) {
    test.reported += {1, failed ? 1U : 0U};
  }
}

auto TargetAlarms::AddLatency(Duration latency,
                              ServiceEvidence& evidence,
                              TimePoint now) -> void {
  if (now - slow_limit_at_ >= kSlowLimitRefresh) {
    slow_limit_at_ = now;
    const auto p95 = evidence.PeerP95(target_, now);
    slow_limit_ = p95 ? std::optional(std::max(kSlowFactor * *p95, kLeastSlow))
                      : std::nullopt;
  }
  evidence.Own(target_).Latency().Add(latency, now);
  if (slow_limit_) {
    Add(FailureClass::kSlow, latency > *slow_limit_, OutcomeSource::kOwnCallers,
        evidence, now);
  }
}

auto TargetAlarms::IsRaised() const -> bool {
  return std::any_of(tests_.begin(), tests_.end(),
                     [](const auto& test) { return test.cusum.IsAlarmed(); });
}

auto TargetAlarms::Confirmed(ServiceEvidence& evidence, TimePoint now) const
    -> std::optional<FailureClass> {
  for (const auto& entry : EnumNames<FailureClass>::kTable) {
    if (TestOf(entry.value).cusum.IsAlarmed() &&
        StandsComparison(entry.value, evidence, now)) {
      return entry.value;
    }
  }
  return std::nullopt;
}

auto TargetAlarms::FailureRate(FailureClass sort) const -> double {
  const auto& counts = TestOf(sort).cusum.counts();
  if (counts.trials == 0) {
    return 0;
  }
  return static_cast<double>(counts.failures) /
         static_cast<double>(counts.trials);
}

auto TargetAlarms::Reset(double head_start, TimePoint now) -> void {
  for (auto& test : tests_) {
    test.cusum.Reset(head_start, now);
    test.reported = RateCounts();
  }
}

auto TargetAlarms::RefreshWeights(Test& test,
                                  FailureClass sort,
                                  ServiceEvidence& evidence,
                                  TimePoint now) const -> void {
  if (now - test.weights_at < kWeightsRefresh) {
    return;
  }
  test.weights_at = now;
  test.weights = WeightsFor(evidence.HealthyRate(target_, sort, now));
}

auto TargetAlarms::IsDueToCallers(ServiceEvidence& evidence,
                                  double healthy_rate,
                                  TimePoint now) const -> bool {
  const auto& test = TestOf(FailureClass::kServerError);
  const auto onset = test.cusum.onset();
  CallerComparison comparison;
  comparison.own_here = test.cusum.counts();
  comparison.own_here.trials -= test.reported.trials;
  comparison.own_here.failures -= test.reported.failures;
  comparison.others_here = test.reported;
  comparison.own_elsewhere =
      evidence.CallersElsewhereSince(target_, onset, now);
  comparison.healthy_rate = healthy_rate;
  const bool has_comparison =
      comparison.own_elsewhere.trials + comparison.others_here.trials > 0;
  if (!has_comparison && now - onset >= kComparisonPatience) {
    return false;
  }
  return EvidenceAgainstTarget(comparison) < kLeastEvidence;
}

auto TargetAlarms::StandsComparison(FailureClass sort,
                                    ServiceEvidence& evidence,
                                    TimePoint now) const -> bool {
  const auto& cusum = TestOf(sort).cusum;
  if (now - cusum.onset() < kPeerReportLag) {
    return false;
  }
  const double peer_rate =
      evidence.PeerRateSince(target_, sort, cusum.onset(), now);
  if (cusum.ValueAgainst(peer_rate) < Cusum::kThreshold) {
    return false;
  }
  if (sort == FailureClass::kServerError) {
    return !IsDueToCallers(evidence, peer_rate, now);
  }
  if (sort != FailureClass::kSlow) {
    return true;
  }
  if (now - cusum.onset() < kSlowConfirmation) {
    return false;
  }
  const auto own = evidence.Own(target_).Latency().P95(now);
  const auto peers = evidence.PeerP95(target_, now);
  return own && peers && *own > kSlowFactor * *peers;
}

}  // namespace flamingoyoke
