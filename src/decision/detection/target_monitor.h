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

// What a monitor needs besides its own state. Valid during one call.
struct MonitorContext {
  ServiceStats& stats;
  ProbeBudget& budget;
  // Members to ask for verification, in order.
  const std::vector<VmId>& verifiers;
  std::uint32_t slots = 1;
  // Whether the home set consists of this node alone.
  bool is_only_home_member = false;
  // Whether the member to ask for permits can be reached.
  bool has_permit_issuer = false;
};

// What a monitor wants done.
struct MonitorActions {
  bool start_probe = false;
  bool retire_connections = false;
  bool ask_permit = false;
  std::optional<VmId> ask_verifier;
};

// Watches one target that this node owns: turns outcomes, probes and
// verifications into the state of the target. Events only note facts;
// Advance() takes the decisions. Not thread-safe.
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

  // Takes outcomes that a borrower saw.
  auto OnReported(const TargetOutcomes& outcomes,
                  ServiceStats& stats,
                  TimePoint now) -> void;

  // Says whether any signal says that the target leaves.
  auto SetDraining(bool draining, TimePoint now) -> void;

  // Takes over an ejection that another owner decided.
  auto InheritEjection(double severity, TimePoint now) -> void;

  // Says that the target was handed over by a member whose work timed out on
  // it while probes passed, so that the same finding here is the second one.
  auto SetTimeoutsCorroborated() -> void { has_corroborated_timeouts_ = true; }

  // Starts with a low share, for a target that is new in the table.
  auto StartCold(TimePoint now) -> void;

  // Drops what is out of date after a pause of the process.
  auto Resume(TimePoint now) -> void;

  // Takes the decisions that are due.
  auto Advance(const MonitorContext& context, TimePoint now) -> MonitorActions;

  // Returns when Advance() is due without an event before.
  [[nodiscard]] auto NextWake(const MonitorContext& context,
                              TimePoint now) const -> TimePoint;

  // Returns whether an event since the last Advance() calls for one at once.
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
  // Start of the oldest attempt that gave rise to the check.
  TimePoint suspected_since_;
  // Attempts written before this used connections that are retired by now.
  TimePoint retired_at_;
  TimePoint last_outcome_;
  TimePoint idle_probe_at_;
  std::optional<TimePoint> idle_probe_started_;
  bool has_failed_probe_ = false;
  std::optional<TimePoint> probe_passed_at_;
  TimePoint check_started_;
  std::optional<TimePoint> refused_until_;
  // Path failures that borrowers reported in the last seconds.
  std::uint32_t reported_path_failures_ = 0;
  TimePoint reported_path_failures_at_;
  bool has_reported_timeout_ = false;
  bool has_corroborated_timeouts_ = false;
  bool is_due_ = false;
  MonitorActions actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_MONITOR_H_
