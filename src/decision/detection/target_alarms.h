#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_ALARMS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_ALARMS_H_

#include <array>
#include <optional>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/caller_check.h"
#include "decision/detection/cusum.h"
#include "decision/detection/failure_class.h"
#include "decision/detection/service_evidence.h"
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
  auto Add(FailureClass sort,
           bool failed,
           OutcomeSource source,
           ServiceEvidence& evidence,
           TimePoint now) -> void;

  // Adds an answer with its response time: slow if it is far above the p95 of
  // the peers.
  auto AddLatency(Duration latency, ServiceEvidence& evidence, TimePoint now)
      -> void;

  // Returns whether a test is above its threshold, before the comparison with
  // the peers. Takes no time to speak of.
  [[nodiscard]] auto IsRaised() const -> bool;

  // Returns the sort of failure that stands the comparison with the peers,
  // or nothing.
  auto Confirmed(ServiceEvidence& evidence, TimePoint now) const
      -> std::optional<FailureClass>;

  // Returns the failure rate since the onset of the test of `sort`, 0 to 1.
  [[nodiscard]] auto FailureRate(FailureClass sort) const -> double;

  // Returns when the evidence of `sort` last rose from zero.
  [[nodiscard]] auto Onset(FailureClass sort) const -> TimePoint {
    return TestOf(sort).cusum.onset();
  }

  // Starts all tests afresh with a head start for a target that was ill.
  auto Reset(double head_start, TimePoint now) -> void;

 private:
  struct Test {
    Cusum cusum;
    OutcomeWeights weights = WeightsFor(kLeastHealthyRate);
    TimePoint weights_at;
    // The part of cusum.counts() that other nodes reported.
    RateCounts reported;
  };

  auto TestOf(FailureClass sort) -> Test& {
    return tests_[static_cast<std::size_t>(sort)];
  }
  [[nodiscard]] auto TestOf(FailureClass sort) const -> const Test& {
    return tests_[static_cast<std::size_t>(sort)];
  }
  auto RefreshWeights(Test& test,
                      FailureClass sort,
                      ServiceEvidence& evidence,
                      TimePoint now) const -> void;
  [[nodiscard]] auto IsDueToCallers(ServiceEvidence& evidence,
                                    double healthy_rate,
                                    TimePoint now) const -> bool;
  auto StandsComparison(FailureClass sort,
                        ServiceEvidence& evidence,
                        TimePoint now) const -> bool;

  TargetId target_;
  std::array<Test, kEnumSize<FailureClass>> tests_;
  std::optional<Duration> slow_limit_;
  TimePoint slow_limit_at_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_ALARMS_H_
