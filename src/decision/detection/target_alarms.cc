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

}  // namespace

auto TargetAlarms::Add(FailureClass sort,
                       bool failed,
                       ServiceEvidence& evidence,
                       TimePoint now) -> void {
  auto& test = TestOf(sort);
  evidence.Own(target_).Rates(sort).Add({1, failed ? 1U : 0U}, now);
  if (!failed && test.cusum.value() <= 0) {
    return;
  }
  RefreshWeights(test, sort, evidence, now);
  test.cusum.Add(failed, test.weights, now);
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
    Add(FailureClass::kSlow, latency > *slow_limit_, evidence, now);
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

auto TargetAlarms::StandsComparison(FailureClass sort,
                                    ServiceEvidence& evidence,
                                    TimePoint now) const -> bool {
  const auto& cusum = TestOf(sort).cusum;
  const double peer_rate =
      evidence.PeerRateSince(target_, sort, cusum.onset(), now);
  if (cusum.ValueAgainst(peer_rate) < Cusum::kThreshold) {
    return false;
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
