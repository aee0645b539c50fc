#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_ALARMS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_ALARMS_H_

#include <array>
#include <optional>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/cusum.h"
#include "decision/detection/failure_class.h"
#include "decision/detection/fault_attribution.h"
#include "decision/detection/service_stats.h"
#include "decision/detection/target_phase.h"

namespace flamingoyoke {

// The sequential tests of one owned target, one per failure class. An alarm is
// confirmed if the test stays above the threshold with the failure rate of the
// peers since its onset. The long-term rate of the peers alone would lag when
// the whole service starts to fail. Not thread-safe.
class TargetAlarms {
 public:
  explicit TargetAlarms(TargetId target) : target_(std::move(target)) {}

  // Adds one outcome to the test and to the statistics of the service.
  auto Add(FailureClass failure_class,
           bool failed,
           OutcomeSource source,
           ServiceStats& stats,
           TimePoint now) -> void;

  // Adds the response time of an answer. It counts as slow if it is far above
  // the p95 of the peers.
  auto AddLatency(Duration latency, ServiceStats& stats, TimePoint now) -> void;

  // Returns whether a test is above its threshold, before the comparison with
  // the peers. Cheap enough to call for each outcome.
  [[nodiscard]] auto HasAlarm() const -> bool;

  // Returns the failure class whose alarm is confirmed by the comparison with
  // the peers, or nothing.
  auto ConfirmedAlarm(ServiceStats& stats, TimePoint now) const
      -> std::optional<FailureClass>;

  // Returns the failure rate since the onset of the test of `failure_class`, 0
  // to 1.
  [[nodiscard]] auto FailureRate(FailureClass failure_class) const -> double;

  // Returns when the test of `failure_class` last rose from zero.
  [[nodiscard]] auto Onset(FailureClass failure_class) const -> TimePoint {
    return TestOf(failure_class).cusum.onset();
  }

  // Restarts all tests. `head_start` is positive for a target that was
  // unhealthy before.
  auto Reset(double head_start, TimePoint now) -> void;

 private:
  struct SequentialTest {
    Cusum cusum;
    LogLikelihoodRatios ratios = LogLikelihoodRatiosFor(kMinHealthyFailureRate);
    TimePoint ratios_at;
    // The part of cusum.counts() that other nodes have reported.
    OutcomeCounts reported;
  };

  auto TestOf(FailureClass failure_class) -> SequentialTest& {
    return tests_[static_cast<std::size_t>(failure_class)];
  }
  [[nodiscard]] auto TestOf(FailureClass failure_class) const
      -> const SequentialTest& {
    return tests_[static_cast<std::size_t>(failure_class)];
  }
  auto RefreshRatios(SequentialTest& test,
                     FailureClass failure_class,
                     ServiceStats& stats,
                     TimePoint now) const -> void;
  [[nodiscard]] auto IsCallerFault(ServiceStats& stats,
                                   double healthy_failure_rate,
                                   TimePoint now) const -> bool;
  auto IsConfirmedByPeers(FailureClass failure_class,
                          ServiceStats& stats,
                          TimePoint now) const -> bool;

  TargetId target_;
  std::array<SequentialTest, kEnumSize<FailureClass>> tests_;
  std::optional<Duration> slow_threshold_;
  TimePoint slow_threshold_at_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_ALARMS_H_
