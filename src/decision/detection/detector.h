#ifndef FLAMINGOYOKE_DECISION_DETECTION_DETECTOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_DETECTOR_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/detection/borrowed_target_monitor.h"
#include "decision/detection/detection_event.h"
#include "decision/detection/drain_signals.h"
#include "decision/detection/ejection_notice_publisher.h"
#include "decision/detection/ejection_notice_store.h"
#include "decision/detection/ejection_permit_issuer.h"
#include "decision/detection/probe_budget.h"
#include "decision/detection/report_deduplicator.h"
#include "decision/detection/service_peers.h"
#include "decision/detection/service_stats.h"
#include "decision/detection/target_monitor.h"
#include "decision/detection/target_shares.h"
#include "decision/detection/target_status.h"
#include "decision/detection/target_verifier.h"

namespace flamingoyoke {

// Decides which targets of one service this node uses. Monitors the targets
// that the node owns, follows the notices of other owners for the rest, and
// applies the capacity floor. There is one detector per service and node. It
// is deterministic: equal events give equal actions. Not thread-safe.
class Detector {
 public:
  explicit Detector(Random random);

  // Handles one event and returns the actions to take. `now` must not decrease
  // between calls. Events before the first DetectionConfigured and events about
  // targets outside the row have no effect. After a pause of the process,
  // DetectionResumed must be the first event.
  auto OnEvent(const DetectionEvent& event, TimePoint now)
      -> std::vector<DetectionAction>;

  // Returns the status of each target, in the order of the service's row.
  [[nodiscard]] auto Statuses() const -> std::vector<TargetStatus>;

  // Returns the usable share of the row's total weight, 0 to 1, as given by the
  // states of the targets before the floor brings any target back.
  [[nodiscard]] auto HealthyShare() const -> double {
    return shares_.healthy_share();
  }

  // Returns the targets that this node is currently responsible for: its
  // configured targets except those handed over, and the targets taken over
  // from members that cannot reach them.
  [[nodiscard]] auto OwnedTargets() const -> std::vector<TargetId>;

 private:
  auto Apply(const DetectionConfigured& event, TimePoint now) -> void;
  auto Apply(const AttemptStarted& event, TimePoint now) -> void;
  auto Apply(const AttemptEnded& event, TimePoint now) -> void;
  auto Apply(const ProbeEnded& event, TimePoint now) -> void;
  auto Apply(const DrainSignalled& event, TimePoint now) -> void;
  auto Apply(const DetectionPeerMessage& event, TimePoint now) -> void;
  auto Apply(const DetectionPeerLost& event, TimePoint now) -> void;
  auto Apply(const DetectionResumed& event, TimePoint now) -> void;
  auto Apply(const DetectionTimer& event, TimePoint now) -> void;

  auto ApplyMessage(const VmId& sender,
                    const LoadReport& message,
                    TimePoint now) -> void;
  auto ApplyMessage(const VmId& sender,
                    const SlotReturn& message,
                    TimePoint now) -> void;
  auto ApplyMessage(const VmId& sender,
                    const OutcomeReport& message,
                    TimePoint now) -> void;
  auto ApplyMessage(const VmId& sender,
                    const EjectionNotice& message,
                    TimePoint now) -> void;
  auto ApplyMessage(const VmId& sender,
                    const EjectionPermitRequest& message,
                    TimePoint now) -> void;
  auto ApplyMessage(const VmId& sender,
                    const EjectionPermit& message,
                    TimePoint now) -> void;
  auto ApplyMessage(const VmId& sender,
                    const VerifyRequest& message,
                    TimePoint now) -> void;
  auto ApplyMessage(const VmId& sender,
                    const VerifyAnswer& message,
                    TimePoint now) -> void;

  auto ApplyOutcomes(const VmId& sender,
                     const std::vector<TargetOutcomes>& outcomes,
                     TimePoint now) -> void;
  auto StartMonitor(const TargetId& target, bool is_cold, TimePoint now)
      -> TargetMonitor&;
  auto StopMonitor(const TargetId& target) -> void;
  auto Context(const TargetId& target) -> MonitorContext;

  // Derives states, messages, shares and the next timer from the inputs that
  // Apply() recorded.
  auto Reconcile(TimePoint now) -> void;
  auto SyncTakeovers(TimePoint now) -> void;
  auto SyncDrains(TimePoint now) -> void;
  auto AdvanceMonitor(const TargetId& target,
                      TargetMonitor& monitor,
                      TimePoint now) -> void;
  auto TryGrantPermit(const TargetId& target, TimePoint now) -> bool;
  // Reports overdue attempts to the owners of their targets. All slots of a
  // target may be lent out, in which case the owner has no outcomes of its own.
  auto ReportOverdue(TimePoint now) -> void;
  auto AnswerVerifications(TimePoint now) -> void;
  auto PublishNotices(TimePoint now) -> void;
  auto PublishShares(TimePoint now) -> void;
  auto EvaluateTarget(const TargetSpec& spec, TimePoint now) const
      -> TargetStatus;
  auto SeverityFor(const TargetId& target, TimePoint now) const -> double;
  auto ScheduleWake(TimePoint now) -> void;
  auto EnsureWakeBy(TimePoint at) -> void;

  auto Send(const VmId& peer, PeerMessage message) -> void;
  auto HasTarget(const TargetId& target) const -> bool;
  auto IsConfiguredOwner(const TargetId& target) const -> bool;
  auto ProbeTimeout(TimePoint now) -> Duration;

  Random random_;
  std::optional<DetectionConfigured> configuration_;
  std::set<TargetId> row_targets_;
  ServiceStats stats_;
  std::map<TargetId, TargetMonitor> monitors_;
  std::map<TargetId, ProbeBudget> budgets_;
  // Targets taken over, and the member that cannot reach them.
  std::map<TargetId, VmId> takeovers_;
  DrainSignals drains_;
  EjectionNoticeStore notices_;
  EjectionPermitIssuer permit_issuer_;
  TargetVerifier verifier_;
  EjectionNoticePublisher notice_publisher_;
  BorrowedTargetMonitor borrowed_;
  ReportDeduplicator reports_;
  ServicePeers peers_;
  TargetShares shares_;
  TimePoint wake_at_ = TimePoint::max();
  std::vector<DetectionAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_DETECTOR_H_
