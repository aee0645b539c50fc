#include "decision/detection/target_monitor.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

// The owner probes a target that had no outcomes for this long.
constexpr Duration kIdleProbeDelay = std::chrono::seconds(2);
// A draining target is probed to detect the end of the drain.
constexpr Duration kDrainProbeInterval = std::chrono::seconds(10);
// A check without a conclusion is abandoned after this time.
constexpr Duration kMaxCheckDuration = std::chrono::seconds(3);
// Interval at which a check is reevaluated whose verdict cannot be acted on
// yet, for example because of a common cause.
constexpr Duration kUndecidedCheckInterval = std::chrono::milliseconds(50);
// Three round trips of the currently slowest link, plus time for a busy member
// to answer.
constexpr Duration kPermitRetryInterval = std::chrono::milliseconds(50);
constexpr Duration kPermitTimeout = std::chrono::milliseconds(150);
constexpr Duration kRefusalBackoff = std::chrono::seconds(1);
// A trial ends after this many successes, or fails with the second failure. A
// healthy target may show one failure in ten requests.
constexpr std::uint32_t kTrialSuccesses = 10;
constexpr std::uint32_t kTrialFailures = 2;
// Minimum log-likelihood ratio that fails a trial. Two failures in ten answers
// reach it in a service that rarely fails.
constexpr double kTrialFailureThreshold = 5;
// A passed probe counts as this many successes in a trial without requests.
constexpr std::uint32_t kProbeSuccesses = 5;
constexpr Duration kUnreachableRetryInterval = std::chrono::seconds(2);
constexpr Duration kReportRetention = std::chrono::seconds(10);
// Reported path failures that confirm timeouts seen by this node. A borrower
// reports a hanging attempt twice: when it becomes overdue and when it ends.
constexpr std::uint32_t kMinCorroboratingFailures = 4;
// Limits the effect of a single repeated or faulty report.
constexpr std::uint32_t kMaxReportedOutcomes = 64;
// A slow target still answers, so the floor brings it back before failing ones.
constexpr double kSlowSeverity = 0.1;

}  // namespace

TargetMonitor::TargetMonitor(TargetId target, Random random, TimePoint now)
    : target_(target),
      random_(random),
      alarms_(std::move(target)),
      last_outcome_(now),
      idle_probe_at_(now) {}

auto TargetMonitor::OnStarted(const AttemptStarted& event,
                              ServiceStats& stats,
                              TimePoint now) -> void {
  stats.Owned(target_).InFlight().Start(
      {event.attempt, now, event.is_new_connection, false});
}

auto TargetMonitor::OnEnded(const AttemptEnded& event,
                            const MonitorContext& context,
                            TimePoint now) -> void {
  auto& stats = context.stats;
  auto& own = stats.Owned(target_);
  const auto attempt = own.InFlight().End(event.attempt);
  if (event.result == AttemptResult::kCancelled) {
    return;
  }
  last_outcome_ = now;
  const bool is_answer = event.result == AttemptResult::kAnswered ||
                         event.result == AttemptResult::kServerError ||
                         event.result == AttemptResult::kShed;
  if (!is_answer) {
    RecordPathFailure(event, attempt, context, now);
    return;
  }
  own.MarkAnswered(now);
  alarms_.Add(FailureClass::kPath, false, OutcomeSource::kOwnCallers, stats,
              now);
  if (check_ && now > check_started_) {
    check_->OnProbe(true);
    is_due_ = true;
  }
  if (event.result == AttemptResult::kShed) {
    return;
  }
  const bool failed = event.result == AttemptResult::kServerError;
  alarms_.Add(FailureClass::kServerError, failed, OutcomeSource::kOwnCallers,
              stats, now);
  if (auto* trial = std::get_if<TrialPhase>(&phase_)) {
    ++(failed ? trial->failed : trial->succeeded);
    is_due_ = true;
  }
  if (!failed) {
    alarms_.AddLatency(event.latency, stats, now);
  }
  is_due_ = is_due_ || alarms_.HasAlarm();
}

auto TargetMonitor::OnProbe(bool passed, TimePoint now) -> void {
  is_due_ = true;
  idle_probe_started_.reset();
  if (passed) {
    probe_passed_at_ = now;
  }
  if (check_) {
    check_->OnProbe(passed);
    return;
  }
  if (auto* ejected = std::get_if<EjectedPhase>(&phase_)) {
    if (!ejected->probed_at) {
      return;
    }
    ejected->probed_at.reset();
    if (passed) {
      StartTrial(now);
    }
    return;
  }
  if (auto* unreachable = std::get_if<UnreachablePhase>(&phase_)) {
    if (!unreachable->probed_at) {
      return;
    }
    unreachable->probed_at.reset();
    unreachable->until = now + kUnreachableRetryInterval;
    if (passed) {
      StartTrial(now);
    }
    return;
  }
  if (auto* trial = std::get_if<TrialPhase>(&phase_)) {
    trial->succeeded += passed ? kProbeSuccesses : 0;
    trial->failed += passed ? 0 : kTrialFailures;
    return;
  }
  has_failed_probe_ = !passed && IsInUse();
}

auto TargetMonitor::OnVerifyAnswer(const VmId& sender, bool reachable) -> void {
  if (check_) {
    check_->OnVerifyAnswer(sender, reachable);
    is_due_ = true;
  }
}

auto TargetMonitor::OnPermit(bool granted, TimePoint now) -> void {
  auto* waiting = std::get_if<AwaitingPermitPhase>(&phase_);
  if (waiting == nullptr) {
    return;
  }
  is_due_ = true;
  if (granted) {
    Eject(EjectionDiagnosis(waiting->diagnosis), now);
    return;
  }
  refused_until_ = now + kRefusalBackoff;
  if (waiting->ramping_since) {
    phase_ = RampingPhase{*waiting->ramping_since};
  } else {
    phase_ = HealthyPhase{refused_until_};
  }
}

auto TargetMonitor::OnReported(const TargetOutcomes& outcomes,
                               ServiceStats& stats,
                               TimePoint now) -> void {
  const auto add = [&](FailureClass failure_class, std::uint32_t count,
                       bool failed) {
    for (std::uint32_t i = 0; i < std::min(count, kMaxReportedOutcomes); ++i) {
      alarms_.Add(failure_class, failed, OutcomeSource::kBorrowers, stats, now);
    }
  };
  add(FailureClass::kServerError, outcomes.failed, true);
  add(FailureClass::kServerError, outcomes.succeeded, false);
  add(FailureClass::kSlow, outcomes.slow, true);
  if (outcomes.succeeded + outcomes.failed > 0) {
    last_outcome_ = now;
  }
  // Timeouts of a borrower may be due to its own network path. They only
  // corroborate what this node finds itself.
  if (outcomes.timed_out > 0) {
    if (now - reported_path_failures_at_ >= kReportRetention) {
      reported_path_failures_ = 0;
    }
    reported_path_failures_ +=
        std::min(outcomes.timed_out, kMaxReportedOutcomes);
    reported_path_failures_at_ = now;
    has_reported_timeout_ = true;
    is_due_ = true;
  }
  if (auto* trial = std::get_if<TrialPhase>(&phase_)) {
    trial->succeeded += std::min(outcomes.succeeded, kMaxReportedOutcomes);
    trial->failed += std::min(outcomes.failed, kMaxReportedOutcomes);
    is_due_ = true;
  }
  is_due_ = is_due_ || alarms_.HasAlarm();
}

auto TargetMonitor::SetDraining(bool draining, TimePoint now) -> void {
  const bool is_draining = std::holds_alternative<DrainingPhase>(phase_);
  if (draining == is_draining) {
    return;
  }
  is_due_ = true;
  check_.reset();
  if (draining) {
    phase_ = DrainingPhase{now + kDrainProbeInterval};
    return;
  }
  StartTrial(now);
}

auto TargetMonitor::InheritEjection(double severity, TimePoint now) -> void {
  Eject({EjectionCause::kInherited, severity}, now);
}

auto TargetMonitor::StartCold(TimePoint now) -> void {
  phase_ = RampingPhase{now};
  is_due_ = true;
}

auto TargetMonitor::Resume(TimePoint now) -> void {
  check_.reset();
  alarms_.Reset(0, now);
  has_failed_probe_ = false;
  idle_probe_started_.reset();
  probe_passed_at_.reset();
  reported_path_failures_ = 0;
  has_reported_timeout_ = false;
  has_corroborated_timeouts_ = false;
  last_outcome_ = now;
  idle_probe_at_ = now;
  if (std::holds_alternative<AwaitingPermitPhase>(phase_)) {
    phase_ = HealthyPhase{};
  }
  if (auto* ejected = std::get_if<EjectedPhase>(&phase_)) {
    ejected->probed_at.reset();
  }
  if (auto* unreachable = std::get_if<UnreachablePhase>(&phase_)) {
    unreachable->probed_at.reset();
  }
  is_due_ = true;
}

auto TargetMonitor::Advance(const MonitorContext& context, TimePoint now)
    -> MonitorActions {
  is_due_ = false;
  CheckOverdueAttempts(context, now);
  RunCheck(context, now);
  std::visit([&](auto& phase) { AdvancePhase(phase, context, now); }, phase_);
  // A permit phase that was entered just now asks for the permit at once.
  if (auto* waiting = std::get_if<AwaitingPermitPhase>(&phase_)) {
    AdvancePhase(*waiting, context, now);
  }
  return std::exchange(actions_, {});
}

auto TargetMonitor::AdvancePhase(HealthyPhase& phase,
                                 const MonitorContext& context,
                                 TimePoint now) -> void {
  if (phase.refused_until && now >= *phase.refused_until) {
    phase.refused_until.reset();
  }
  ProbeWhenIdle(context, now);
  EvaluateAlarms(context, now);
}

auto TargetMonitor::AdvancePhase(AwaitingPermitPhase& phase,
                                 const MonitorContext& context,
                                 TimePoint now) -> void {
  if (context.is_only_home_member || !context.has_permit_issuer ||
      now - phase.first_asked >= kPermitTimeout) {
    Eject(EjectionDiagnosis(phase.diagnosis), now);
    return;
  }
  if (now >= phase.next_ask_at) {
    actions_.ask_permit = true;
    phase.next_ask_at = now + kPermitRetryInterval;
  }
}

auto TargetMonitor::AdvancePhase(EjectedPhase& phase,
                                 const MonitorContext& context,
                                 TimePoint now) -> void {
  if (phase.probed_at &&
      now - *phase.probed_at < ProbeBudget::kMaxProbeDuration) {
    return;
  }
  phase.probed_at.reset();
  if (now >= phase.until && TryProbe(context, now)) {
    phase.probed_at = now;
  }
}

auto TargetMonitor::AdvancePhase(TrialPhase& phase,
                                 const MonitorContext& context,
                                 TimePoint now) -> void {
  if (phase.failed >= kTrialFailures) {
    // Failures at a rate that the peers show as well do not fail a trial.
    const auto ratios =
        LogLikelihoodRatiosFor(context.stats.PeerFailureRateSince(
            target_, FailureClass::kServerError, phase.since, now));
    if (phase.failed * ratios.on_failure +
            phase.succeeded * ratios.on_success >=
        kTrialFailureThreshold) {
      Eject({EjectionCause::kFailedTrial, 1}, now);
      return;
    }
  }
  if (phase.succeeded >= kTrialSuccesses) {
    alarms_.Reset(Cusum::kThreshold / 2, now);
    phase_ = RampingPhase{now};
    return;
  }
  ProbeWhenIdle(context, now);
}

auto TargetMonitor::AdvancePhase(RampingPhase& phase,
                                 const MonitorContext& context,
                                 TimePoint now) -> void {
  if (now - phase.since >= kRampDuration) {
    EnterHealthy(now);
    return;
  }
  ProbeWhenIdle(context, now);
  EvaluateAlarms(context, now);
}

auto TargetMonitor::AdvancePhase(DrainingPhase& phase,
                                 const MonitorContext& context,
                                 TimePoint now) -> void {
  if (now >= phase.probe_at && TryProbe(context, now)) {
    phase.probe_at = now + kDrainProbeInterval;
  }
}

auto TargetMonitor::AdvancePhase(UnreachablePhase& phase,
                                 const MonitorContext& context,
                                 TimePoint now) -> void {
  if (phase.probed_at &&
      now - *phase.probed_at < ProbeBudget::kMaxProbeDuration) {
    return;
  }
  phase.probed_at.reset();
  if (now >= phase.until && TryProbe(context, now)) {
    phase.probed_at = now;
  }
}

auto TargetMonitor::NextWake(const MonitorContext& context, TimePoint now) const
    -> TimePoint {
  auto wake = PhaseWake(context);
  auto& stats = context.stats;
  if (IsInUse()) {
    const auto oldest = stats.Owned(target_).InFlight().OldestStartNotOverdue();
    if (oldest) {
      wake = std::min(wake, *oldest + stats.OverdueThreshold(now));
    }
    auto idle = std::max({last_outcome_ + kIdleProbeDelay, idle_probe_at_,
                          context.budget.NextStartAt()});
    if (idle_probe_started_) {
      idle = *idle_probe_started_ + PathCheck::kVerificationDelay;
    }
    wake = std::min(wake, idle);
  }
  if (check_) {
    const auto next =
        check_->NextWake(ProbeTimeout(context, now), context.budget);
    wake = std::min(wake, next.value_or(now + kUndecidedCheckInterval));
  }
  return std::max(wake, now + std::chrono::milliseconds(1));
}

auto TargetMonitor::PhaseWake(const MonitorContext& context) const
    -> TimePoint {
  const auto probe_wake = [&](const auto& phase) {
    return phase.probed_at
               ? *phase.probed_at + ProbeBudget::kMaxProbeDuration
               : std::max(phase.until, context.budget.NextStartAt());
  };
  return std::visit(
      Overloaded{
          [&](const HealthyPhase& healthy) {
            return healthy.refused_until.value_or(TimePoint::max());
          },
          [&](const AwaitingPermitPhase& waiting) {
            return std::min(waiting.next_ask_at,
                            waiting.first_asked + kPermitTimeout);
          },
          [&](const EjectedPhase& ejected) { return probe_wake(ejected); },
          [&](const TrialPhase&) { return TimePoint::max(); },
          [&](const RampingPhase& ramping) {
            return ramping.since + kRampDuration;
          },
          [&](const DrainingPhase& draining) {
            return std::max(draining.probe_at, context.budget.NextStartAt());
          },
          [&](const UnreachablePhase& unreachable) {
            return probe_wake(unreachable);
          },
      },
      phase_);
}

auto TargetMonitor::CheckOverdueAttempts(const MonitorContext& context,
                                         TimePoint now) -> void {
  auto& in_flight = context.stats.Owned(target_).InFlight();
  const auto overdue =
      in_flight.TakeOverdue(context.stats.OverdueThreshold(now), now);
  if (!overdue.empty()) {
    StartCheck(context, overdue.front().started, now);
  }
}

auto TargetMonitor::StartCheck(const MonitorContext& context,
                               TimePoint suspected_since,
                               TimePoint now) -> void {
  if (check_ || !IsInUse()) {
    return;
  }
  check_.emplace(context.verifiers, now);
  check_started_ = now;
  suspected_since_ = suspected_since;
  retired_at_ = now;
  actions_.retire_connections = true;
  is_due_ = true;
}

auto TargetMonitor::RunCheck(const MonitorContext& context, TimePoint now)
    -> void {
  if (!check_ && std::exchange(has_failed_probe_, false) && IsInUse()) {
    StartCheck(context, now, now);
    check_->OnProbe(false);
  }
  if (!check_ && idle_probe_started_ && IsInUse() &&
      now - *idle_probe_started_ >= PathCheck::kVerificationDelay) {
    StartCheck(context, *idle_probe_started_, now);
    check_->AdoptProbe(*idle_probe_started_);
    idle_probe_started_.reset();
  }
  if (std::exchange(has_reported_timeout_, false)) {
    StartCheck(context, now, now);
  }
  if (!check_) {
    return;
  }
  const auto actions =
      check_->Advance(ProbeTimeout(context, now), context.budget, now);
  actions_.start_probe = actions_.start_probe || actions.start_probe;
  actions_.ask_verifier = actions.ask_verifier;
  ConcludeCheck(context, now);
}

auto TargetMonitor::ConcludeCheck(const MonitorContext& context, TimePoint now)
    -> void {
  const auto verdict = check_->Verdict();
  const bool is_down =
      verdict == PathVerdict::kTargetDown ||
      (verdict == PathVerdict::kUnverified && context.is_only_home_member);
  if (verdict == PathVerdict::kUnreachableHere) {
    MarkUnreachable(check_->ReachedBy(), false, now);
  } else if (is_down && IsConfirmedSilent(context, now)) {
    check_.reset();
    AskPermit({EjectionCause::kStopped, 1}, now);
  } else if (verdict == PathVerdict::kUnverified &&
             !context.is_only_home_member) {
    MarkUnreachable(std::nullopt, false, now);
  } else if (verdict == PathVerdict::kPathWorks ||
             now - check_started_ >= kMaxCheckDuration) {
    check_.reset();
  }
}

auto TargetMonitor::IsConfirmedSilent(const MonitorContext& context,
                                      TimePoint now) -> bool {
  auto& stats = context.stats;
  const auto last_answer = stats.Owned(target_).last_answer();
  if (last_answer > check_started_) {
    check_->OnProbe(true);
    return false;
  }
  // Another attempt may have been answered after the overdue one was written,
  // just before the target stopped. The response times of the peers may have
  // risen meanwhile.
  const bool is_long_enough =
      check_->IsExplicitFailure() ||
      now - std::max(suspected_since_, last_answer) >=
          stats.OverdueThreshold(now) + ProbeTimeout(context, now);
  return is_long_enough && !stats.IsCommonCause(target_, now);
}

auto TargetMonitor::EvaluateAlarms(const MonitorContext& context, TimePoint now)
    -> void {
  if (!alarms_.HasAlarm() || (refused_until_ && now < *refused_until_)) {
    return;
  }
  const auto failure_class = alarms_.ConfirmedAlarm(context.stats, now);
  if (!failure_class) {
    return;
  }
  switch (*failure_class) {
    case FailureClass::kServerError:
      AskPermit(
          {EjectionCause::kServerErrors, alarms_.FailureRate(*failure_class)},
          now);
      return;
    case FailureClass::kSlow:
      AskPermit({EjectionCause::kSlow,
                 kSlowSeverity * alarms_.FailureRate(*failure_class)},
                now);
      return;
    case FailureClass::kPath:
      EvaluateTimeouts(context, now);
      return;
  }
}

auto TargetMonitor::EvaluateTimeouts(const MonitorContext& context,
                                     TimePoint now) -> void {
  if (check_) {
    return;
  }
  const auto onset = alarms_.Onset(FailureClass::kPath);
  if (!probe_passed_at_ || *probe_passed_at_ < onset) {
    StartCheck(context, now, now);
    return;
  }
  const bool is_corroborated =
      has_corroborated_timeouts_ || context.verifiers.empty() ||
      (reported_path_failures_ >= kMinCorroboratingFailures &&
       now - reported_path_failures_at_ < kReportRetention);
  if (is_corroborated) {
    AskPermit(
        {EjectionCause::kTimeouts, alarms_.FailureRate(FailureClass::kPath)},
        now);
    return;
  }
  actions_.ask_verifier = context.verifiers.front();
  MarkUnreachable(context.verifiers.front(), true, now);
}

auto TargetMonitor::ProbeWhenIdle(const MonitorContext& context, TimePoint now)
    -> void {
  const bool is_idle = now - last_outcome_ >= kIdleProbeDelay &&
                       now >= idle_probe_at_ && !check_ && !idle_probe_started_;
  if (!is_idle || !TryProbe(context, now)) {
    return;
  }
  idle_probe_started_ = now;
  // Random delay of 0.5 to 1.5 intervals, so that the probes of many targets do
  // not synchronize.
  const auto spread = static_cast<Duration::rep>(
      random_.Below(static_cast<std::uint64_t>(kIdleProbeDelay.count())));
  idle_probe_at_ = now + kIdleProbeDelay / 2 + Duration(spread);
}

auto TargetMonitor::TryProbe(const MonitorContext& context, TimePoint now)
    -> bool {
  bool is_new = false;
  const bool may_probe = context.budget.TryStart(now, &is_new);
  actions_.start_probe = actions_.start_probe || is_new;
  return may_probe;
}

auto TargetMonitor::AskPermit(const EjectionDiagnosis& diagnosis, TimePoint now)
    -> void {
  if (refused_until_ && now < *refused_until_) {
    return;
  }
  if (std::holds_alternative<TrialPhase>(phase_)) {
    // No permit is needed: a target in its trial does not count as capacity.
    Eject(diagnosis, now);
    return;
  }
  std::optional<TimePoint> ramping_since;
  if (const auto* ramping = std::get_if<RampingPhase>(&phase_)) {
    ramping_since = ramping->since;
  }
  phase_ = AwaitingPermitPhase{diagnosis, ramping_since, now, now};
}

auto TargetMonitor::Eject(const EjectionDiagnosis& diagnosis, TimePoint now)
    -> void {
  phase_ =
      EjectedPhase{diagnosis, now + backoff_.StartEjection(now), std::nullopt};
  alarms_.Reset(0, now);
  check_.reset();
  idle_probe_started_.reset();
  has_failed_probe_ = false;
  refused_until_.reset();
  has_corroborated_timeouts_ = false;
  is_due_ = true;
  actions_.retire_connections = true;
}

auto TargetMonitor::MarkUnreachable(const std::optional<VmId>& handed_over_to,
                                    bool timed_out,
                                    TimePoint now) -> void {
  phase_ = UnreachablePhase{handed_over_to, timed_out,
                            now + backoff_.StartEjection(now), std::nullopt};
  alarms_.Reset(0, now);
  check_.reset();
  idle_probe_started_.reset();
  has_failed_probe_ = false;
  is_due_ = true;
}

auto TargetMonitor::StartTrial(TimePoint now) -> void {
  phase_ = TrialPhase{now};
  alarms_.Reset(0, now);
  last_outcome_ = now;
  idle_probe_at_ = now;
  is_due_ = true;
}

auto TargetMonitor::EnterHealthy(TimePoint now) -> void {
  phase_ = HealthyPhase{};
  backoff_.MarkHealthy(now);
}

auto TargetMonitor::IsInUse() const -> bool {
  return !std::holds_alternative<EjectedPhase>(phase_) &&
         !std::holds_alternative<DrainingPhase>(phase_) &&
         !std::holds_alternative<UnreachablePhase>(phase_) &&
         !std::holds_alternative<AwaitingPermitPhase>(phase_);
}

auto TargetMonitor::ProbeTimeout(const MonitorContext& context,
                                 TimePoint now) const -> Duration {
  return std::max(PathCheck::kMinProbeTimeout,
                  context.stats.OverdueThreshold(now));
}

auto TargetMonitor::RecordPathFailure(
    const AttemptEnded& event,
    const std::optional<InFlightAttempt>& attempt,
    const MonitorContext& context,
    TimePoint now) -> void {
  // A failure on an old connection may be due to the connection alone. It
  // starts a check, which retires the connection.
  const bool is_fresh = event.result == AttemptResult::kConnectFailed ||
                        (attempt && (attempt->is_new_connection ||
                                     attempt->started > retired_at_));
  if (is_fresh) {
    alarms_.Add(FailureClass::kPath, true, OutcomeSource::kOwnCallers,
                context.stats, now);
  }
  // A path failure does not fail a trial. The check finds the cause.
  const auto since = attempt ? attempt->started : now - event.latency;
  const bool had_check = check_.has_value();
  StartCheck(context, since, now);
  const bool can_probe = now >= context.budget.NextStartAt();
  if (check_ && !had_check && !can_probe &&
      event.result == AttemptResult::kConnectFailed) {
    check_->OnProbe(false);
  }
  is_due_ = true;
}

}  // namespace flamingoyoke
