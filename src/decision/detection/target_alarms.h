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

// The sequential tests of one owned target, one per sort of failure. An alarm
// needs the test itself and the same evidence held against the rate of the
// peers since its onset, since the usual rate of the peers lags when a whole
// service begins to fail. Not thread-safe.
class TargetAlarms {
 public:
  explicit TargetAlarms(TargetId target) : target_(std::move(target)) {}

  // Adds one outcome here and to the evidence that peers are compared with.
  auto Add(FailureClass failure_class,
           bool failed,
           OutcomeSource source,
           ServiceStats& stats,
           TimePoint now) -> void;

  // Adds an answer with its response time: slow if it is far above the p95 of
  // the peers.
  auto AddLatency(Duration latency, ServiceStats& stats, TimePoint now) -> void;

  // Returns whether a test is above its threshold, before the comparison with
  // the peers. Takes no time to speak of.
  [[nodiscard]] auto HasAlarm() const -> bool;

  // Returns the sort of failure that stands the comparison with the peers,
  // or nothing.
  auto ConfirmedAlarm(ServiceStats& stats, TimePoint now) const
      -> std::optional<FailureClass>;

  // Returns the failure rate since the onset of the test of `sort`, 0 to 1.
  [[nodiscard]] auto FailureRate(FailureClass failure_class) const -> double;

  // Returns when the evidence of `sort` last rose from zero.
  [[nodiscard]] auto Onset(FailureClass failure_class) const -> TimePoint {
    return TestOf(failure_class).cusum.onset();
  }

  // Starts all tests afresh with a head start for a target that was ill.
  auto Reset(double head_start, TimePoint now) -> void;

 private:
  struct SequentialTest {
    Cusum cusum;
    LogLikelihoodRatios ratios = LogLikelihoodRatiosFor(kMinHealthyFailureRate);
    TimePoint ratios_at;
    // The part of cusum.counts() that other nodes reported.
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
