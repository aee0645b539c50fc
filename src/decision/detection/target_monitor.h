#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_MONITOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_MONITOR_H_

#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/detection/detection_event.h"
#include "decision/detection/ejection_backoff.h"
#include "decision/detection/path_check.h"
#include "decision/detection/probe_budget.h"
#include "decision/detection/service_stats.h"
#include "decision/detection/target_alarms.h"
#include "decision/detection/target_phase.h"

namespace flamingoyoke {

// The environment of a monitor. Valid during one call.
struct MonitorContext {
  ServiceStats& stats;
  ProbeBudget& budget;
  // Members to ask for verification, in this order.
  const std::vector<VmId>& verifiers;
  std::uint32_t slots = 1;
  // Whether this node is the only home member.
  bool is_only_home_member = false;
  // Whether the member that grants ejection permits is reachable.
  bool has_permit_issuer = false;
};

// The actions that a monitor requests.
struct MonitorActions {
  bool start_probe = false;
  bool retire_connections = false;
  bool ask_permit = false;
  std::optional<VmId> ask_verifier;
};

// Monitors one target that this node owns, and derives its state from outcomes,
// probes and verifications. Event handlers record their input; Advance() makes
// most of the decisions. Not thread-safe.
class TargetMonitor {
 public:
  TargetMonitor(TargetId target, Random random, TimePoint now);

  auto OnStarted(const AttemptStarted& event,
                 ServiceStats& stats,
                 TimePoint now) -> void;
  auto OnEnded(const AttemptEnded& event,
               const MonitorContext& context,
               TimePoint now) -> void;
  auto OnProbe(bool passed, TimePoint now) -> void;
  auto OnVerifyAnswer(const VmId& sender, bool reachable) -> void;
  auto OnPermit(bool granted, TimePoint now) -> void;

  // Records outcomes that a borrower reported.
  auto OnReported(const TargetOutcomes& outcomes,
                  ServiceStats& stats,
                  TimePoint now) -> void;

  // Sets whether any valid drain signal for the target exists.
  auto SetDraining(bool draining, TimePoint now) -> void;

  // Adopts an ejection that another owner decided.
  auto InheritEjection(double severity, TimePoint now) -> void;

  // Marks a target that was handed over by another member. If requests time out
  // while probes pass here as well, that confirms the finding of that member.
  auto SetTimeoutsCorroborated() -> void { has_corroborated_timeouts_ = true; }

  // Starts with a low share, for a target that was added to the table.
  auto StartCold(TimePoint now) -> void;

  // Discards data that is stale after a pause of the process.
  auto Resume(TimePoint now) -> void;

  // Makes the decisions that are due and returns the resulting actions.
  auto Advance(const MonitorContext& context, TimePoint now) -> MonitorActions;

  // Returns when Advance() is next due without an event.
  [[nodiscard]] auto NextWake(const MonitorContext& context,
                              TimePoint now) const -> TimePoint;

  // Returns whether Advance() must be called again at once because of an event.
  [[nodiscard]] auto IsDue() const -> bool { return is_due_; }

  [[nodiscard]] auto phase() const -> const TargetPhase& { return phase_; }

 private:
  auto AdvancePhase(HealthyPhase& phase,
                    const MonitorContext& context,
                    TimePoint now) -> void;
  auto AdvancePhase(AwaitingPermitPhase& phase,
                    const MonitorContext& context,
                    TimePoint now) -> void;
  auto AdvancePhase(EjectedPhase& phase,
                    const MonitorContext& context,
                    TimePoint now) -> void;
  auto AdvancePhase(TrialPhase& phase,
                    const MonitorContext& context,
                    TimePoint now) -> void;
  auto AdvancePhase(RampingPhase& phase,
                    const MonitorContext& context,
                    TimePoint now) -> void;
  auto AdvancePhase(DrainingPhase& phase,
                    const MonitorContext& context,
                    TimePoint now) -> void;
  auto AdvancePhase(UnreachablePhase& phase,
                    const MonitorContext& context,
                    TimePoint now) -> void;

  auto CheckOverdueAttempts(const MonitorContext& context, TimePoint now)
      -> void;
  auto StartCheck(const MonitorContext& context,
                  TimePoint suspected_since,
                  TimePoint now) -> void;
  auto RunCheck(const MonitorContext& context, TimePoint now) -> void;
  auto ConcludeCheck(const MonitorContext& context, TimePoint now) -> void;
  auto EvaluateAlarms(const MonitorContext& context, TimePoint now) -> void;
  auto EvaluateTimeouts(const MonitorContext& context, TimePoint now) -> void;
  auto ProbeWhenIdle(const MonitorContext& context, TimePoint now) -> void;
  auto TryProbe(const MonitorContext& context, TimePoint now) -> bool;
  auto AskPermit(const EjectionDiagnosis& diagnosis, TimePoint now) -> void;
  auto Eject(const EjectionDiagnosis& diagnosis, TimePoint now) -> void;
  auto MarkUnreachable(const std::optional<VmId>& handed_over_to,
                       bool timed_out,
                       TimePoint now) -> void;
  auto StartTrial(TimePoint now) -> void;
  auto EnterHealthy(TimePoint now) -> void;
  auto IsInUse() const -> bool;
  auto ProbeTimeout(const MonitorContext& context, TimePoint now) const
      -> Duration;
  auto RecordPathFailure(const AttemptEnded& event,
                         const std::optional<InFlightAttempt>& attempt,
                         const MonitorContext& context,
                         TimePoint now) -> void;
  auto PhaseWake(const MonitorContext& context) const -> TimePoint;
  auto IsConfirmedSilent(const MonitorContext& context, TimePoint now) -> bool;

  TargetId target_;
  Random random_;
  TargetPhase phase_ = HealthyPhase{};
  TargetAlarms alarms_;
  EjectionBackoff backoff_;
  std::optional<PathCheck> check_;
  // Start of the oldest attempt that caused the check.
  TimePoint suspected_since_;
  // Attempts written before this time used connections that have been retired.
  TimePoint retired_at_;
  TimePoint last_outcome_;
  TimePoint idle_probe_at_;
  std::optional<TimePoint> idle_probe_started_;
  bool has_failed_probe_ = false;
  std::optional<TimePoint> probe_passed_at_;
  TimePoint check_started_;
  std::optional<TimePoint> refused_until_;
  // Path failures that borrowers reported recently.
  std::uint32_t reported_path_failures_ = 0;
  TimePoint reported_path_failures_at_;
  bool has_reported_timeout_ = false;
  bool has_corroborated_timeouts_ = false;
  bool is_due_ = false;
  MonitorActions actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_MONITOR_H_
