#include "decision/detection/target_monitor.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

// Without work for this long, the owner probes a target.
constexpr Duration kIdleAfter = std::chrono::seconds(2);
// A draining target is probed so that the end of the drain can be seen.
constexpr Duration kDrainProbeInterval = std::chrono::seconds(10);
// A check that is held back by a common cause is repeated after this.
constexpr Duration kLongestCheck = std::chrono::seconds(3);
constexpr Duration kHeldCheckInterval = std::chrono::milliseconds(50);
// Three round trips of today's slowest link, with slack for a busy member.
constexpr Duration kPermitRetry = std::chrono::milliseconds(50);
constexpr Duration kPermitPatience = std::chrono::milliseconds(150);
constexpr Duration kRefusalPause = std::chrono::seconds(1);
// A trial ends with this many answers or the second failure: one failure in
// ten is within what a healthy target shows on a bad day.
constexpr std::uint32_t kTrialSuccesses = 10;
constexpr std::uint32_t kTrialFailures = 2;
// Two failures in ten answers weigh this much where healthy targets hardly
// ever fail.
constexpr double kTrialEvidence = 5;
// A passed probe in a trial without work counts as this many answers.
constexpr std::uint32_t kProbeWorth = 5;
constexpr Duration kUnreachableRetry = std::chrono::seconds(2);
constexpr Duration kReportMemory = std::chrono::seconds(10);
// A borrower reports an attempt that hangs twice: when it is overdue and when
// it ends.
constexpr std::uint32_t kCorroboration = 4;
// Bounds what one repeated or faulty report can do.
constexpr std::uint32_t kMostReported = 64;
// A slow target still answers, so it returns before failing ones.
constexpr double kSlowSeverity = 0.1;

}  // namespace

TargetMonitor::TargetMonitor(TargetId target, Random random, TimePoint now)
    : target_(target),
      random_(random),
      alarms_(std::move(target)),
      last_outcome_(now),
      idle_probe_at_(now) {}

auto TargetMonitor::OnStarted(const AttemptStarted& event,
                              ServiceEvidence& evidence,
                              TimePoint now) -> void {
  evidence.Own(target_).InFlight().Start(
      {event.attempt, now, event.fresh_connection, false});
}

auto TargetMonitor::OnEnded(const AttemptEnded& event,
                            const MonitorContext& context,
                            TimePoint now) -> void {
  auto& evidence = context.evidence;
  auto& own = evidence.Own(target_);
  const auto attempt = own.InFlight().End(event.attempt);
  if (event.result == AttemptResult::kCancelled) {
    return;
  }
  last_outcome_ = now;
  const bool is_answer = event.result == AttemptResult::kAnswered ||
                         event.result == AttemptResult::kServerError ||
                         event.result == AttemptResult::kShed;
  if (!is_answer) {
    NotePathFailure(event, attempt, context, now);
    return;
  }
  own.MarkAnswered(now);
  alarms_.Add(FailureClass::kPath, false, OutcomeSource::kOwnCallers, evidence,
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
              evidence, now);
  if (auto* trial = std::get_if<TrialPhase>(&phase_)) {
    ++(failed ? trial->failed : trial->succeeded);
    is_due_ = true;
  }
  if (!failed) {
    alarms_.AddLatency(event.latency, evidence, now);
  }
  is_due_ = is_due_ || alarms_.IsRaised();
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
      Admit(now);
    }
    return;
  }
  if (auto* unreachable = std::get_if<UnreachablePhase>(&phase_)) {
    if (!unreachable->probed_at) {
      return;
    }
    unreachable->probed_at.reset();
    unreachable->until = now + kUnreachableRetry;
    if (passed) {
      Admit(now);
    }
    return;
  }
  if (auto* trial = std::get_if<TrialPhase>(&phase_)) {
    trial->succeeded += passed ? kProbeWorth : 0;
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
    Eject(EjectionGrounds(waiting->grounds), now);
    return;
  }
  refused_until_ = now + kRefusalPause;
  if (waiting->ramping_since) {
    phase_ = RampingPhase{*waiting->ramping_since};
  } else {
    phase_ = HealthyPhase{refused_until_};
  }
}

auto TargetMonitor::OnReported(const TargetOutcomes& outcomes,
                               ServiceEvidence& evidence,
                               TimePoint now) -> void {
  const auto add = [&](FailureClass sort, std::uint32_t count, bool failed) {
    for (std::uint32_t i = 0; i < std::min(count, kMostReported); ++i) {
      alarms_.Add(sort, failed, OutcomeSource::kBorrowers, evidence, now);
    }
  };
  add(FailureClass::kServerError, outcomes.failed, true);
  add(FailureClass::kServerError, outcomes.succeeded, false);
  add(FailureClass::kSlow, outcomes.slow, true);
  if (outcomes.succeeded + outcomes.failed > 0) {
    last_outcome_ = now;
  }
  // Timeouts of a borrower may be due to its own path; they only support
  // what this node finds itself.
  if (outcomes.timed_out > 0) {
    if (now - reported_path_failures_at_ >= kReportMemory) {
      reported_path_failures_ = 0;
    }
    reported_path_failures_ += std::min(outcomes.timed_out, kMostReported);
    reported_path_failures_at_ = now;
    has_reported_suspicion_ = true;
    is_due_ = true;
  }
  if (auto* trial = std::get_if<TrialPhase>(&phase_)) {
    trial->succeeded += std::min(outcomes.succeeded, kMostReported);
    trial->failed += std::min(outcomes.failed, kMostReported);
    is_due_ = true;
  }
  is_due_ = is_due_ || alarms_.IsRaised();
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
  Admit(now);
}

auto TargetMonitor::Inherit(double severity, TimePoint now) -> void {
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
  has_reported_suspicion_ = false;
  is_second_opinion_ = false;
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
    -> MonitorOrders {
  is_due_ = false;
  NoteOverdue(context, now);
  RunCheck(context, now);
  std::visit([&](auto& phase) { AdvanceIn(phase, context, now); }, phase_);
  // A phase that was entered just now may have something to do at once.
  if (auto* waiting = std::get_if<AwaitingPermitPhase>(&phase_)) {
    AdvanceIn(*waiting, context, now);
  }
  return std::exchange(orders_, {});
}

auto TargetMonitor::AdvanceIn(HealthyPhase& phase,
                              const MonitorContext& context,
                              TimePoint now) -> void {
  if (phase.refused_until && now >= *phase.refused_until) {
    phase.refused_until.reset();
  }
  ProbeWhenIdle(context, now);
  JudgeAlarms(context, now);
}

auto TargetMonitor::AdvanceIn(AwaitingPermitPhase& phase,
                              const MonitorContext& context,
                              TimePoint now) -> void {
  if (context.is_alone || !context.has_permit_giver ||
      now - phase.first_asked >= kPermitPatience) {
    Eject(EjectionGrounds(phase.grounds), now);
    return;
  }
  if (now >= phase.ask_at) {
    orders_.ask_permit = true;
    phase.ask_at = now + kPermitRetry;
  }
}

auto TargetMonitor::AdvanceIn(EjectedPhase& phase,
                              const MonitorContext& context,
                              TimePoint now) -> void {
  if (phase.probed_at && now - *phase.probed_at < ProbeBudget::kForgetAfter) {
    return;
  }
  phase.probed_at.reset();
  if (now >= phase.until && TryProbe(context, now)) {
    phase.probed_at = now;
  }
}

auto TargetMonitor::AdvanceIn(TrialPhase& phase,
                              const MonitorContext& context,
                              TimePoint now) -> void {
  if (phase.failed >= kTrialFailures) {
    // Failures that the peers show as well do not end a trial.
    const auto weights = WeightsFor(context.evidence.PeerRateSince(
        target_, FailureClass::kServerError, phase.since, now));
    if (phase.failed * weights.on_failure +
            phase.succeeded * weights.on_success >=
        kTrialEvidence) {
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

auto TargetMonitor::AdvanceIn(RampingPhase& phase,
                              const MonitorContext& context,
                              TimePoint now) -> void {
  if (now - phase.since >= kRampDuration) {
    EnterHealthy(now);
    return;
  }
  ProbeWhenIdle(context, now);
  JudgeAlarms(context, now);
}

auto TargetMonitor::AdvanceIn(DrainingPhase& phase,
                              const MonitorContext& context,
                              TimePoint now) -> void {
  if (now >= phase.probe_at && TryProbe(context, now)) {
    phase.probe_at = now + kDrainProbeInterval;
  }
}

auto TargetMonitor::AdvanceIn(UnreachablePhase& phase,
                              const MonitorContext& context,
                              TimePoint now) -> void {
  if (phase.probed_at && now - *phase.probed_at < ProbeBudget::kForgetAfter) {
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
  auto& evidence = context.evidence;
  if (IsInUse()) {
    const auto oldest = evidence.Own(target_).InFlight().OldestTimelyStart();
    if (oldest) {
      wake = std::min(wake, *oldest + evidence.StallLimit(now));
    }
    auto idle = std::max(
        {last_outcome_ + kIdleAfter, idle_probe_at_, context.budget.NextAt()});
    if (idle_probe_started_) {
      idle = *idle_probe_started_ + PathCheck::kVerifyAfter;
    }
    wake = std::min(wake, idle);
  }
  if (check_) {
    const auto next = check_->NextWake(ProbeTime(context, now), context.budget);
    wake = std::min(wake, next.value_or(now + kHeldCheckInterval));
  }
  return std::max(wake, now + std::chrono::milliseconds(1));
}

auto TargetMonitor::PhaseWake(const MonitorContext& context) const
    -> TimePoint {
  const auto probe_wake = [&](const auto& phase) {
    return phase.probed_at ? *phase.probed_at + ProbeBudget::kForgetAfter
                           : std::max(phase.until, context.budget.NextAt());
  };
  return std::visit(
      Overloaded{
          [&](const HealthyPhase& healthy) {
            return healthy.refused_until.value_or(TimePoint::max());
          },
          [&](const AwaitingPermitPhase& waiting) {
            return std::min(waiting.ask_at,
                            waiting.first_asked + kPermitPatience);
          },
          [&](const EjectedPhase& ejected) { return probe_wake(ejected); },
          [&](const TrialPhase&) { return TimePoint::max(); },
          [&](const RampingPhase& ramping) {
            return ramping.since + kRampDuration;
          },
          [&](const DrainingPhase& draining) {
            return std::max(draining.probe_at, context.budget.NextAt());
          },
          [&](const UnreachablePhase& unreachable) {
            return probe_wake(unreachable);
          },
      },
      phase_);
}

auto TargetMonitor::NoteOverdue(const MonitorContext& context, TimePoint now)
    -> void {
  auto& in_flight = context.evidence.Own(target_).InFlight();
  const auto overdue =
      in_flight.TakeOverdue(context.evidence.StallLimit(now), now);
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
  orders_.retire_connections = true;
  is_due_ = true;
}

auto TargetMonitor::RunCheck(const MonitorContext& context, TimePoint now)
    -> void {
  if (!check_ && std::exchange(has_failed_probe_, false) && IsInUse()) {
    StartCheck(context, now, now);
    check_->OnProbe(false);
  }
  if (!check_ && idle_probe_started_ && IsInUse() &&
      now - *idle_probe_started_ >= PathCheck::kVerifyAfter) {
    StartCheck(context, *idle_probe_started_, now);
    check_->AdoptProbe(*idle_probe_started_);
    idle_probe_started_.reset();
  }
  if (std::exchange(has_reported_suspicion_, false)) {
    StartCheck(context, now, now);
  }
  if (!check_) {
    return;
  }
  const auto orders =
      check_->Advance(ProbeTime(context, now), context.budget, now);
  orders_.start_probe = orders_.start_probe || orders.start_probe;
  orders_.ask_verifier = orders.ask;
  ConcludeCheck(context, now);
}

auto TargetMonitor::ConcludeCheck(const MonitorContext& context, TimePoint now)
    -> void {
  const auto verdict = check_->Verdict();
  const bool is_down =
      verdict == PathVerdict::kTargetDown ||
      (verdict == PathVerdict::kUnverified && context.is_alone);
  if (verdict == PathVerdict::kUnreachableHere) {
    MarkUnreachable(check_->ReachedBy(), false, now);
  } else if (is_down && IsReallySilent(context, now)) {
    check_.reset();
    AskPermit({EjectionCause::kStopped, 1}, now);
  } else if (verdict == PathVerdict::kUnverified && !context.is_alone) {
    MarkUnreachable(std::nullopt, false, now);
  } else if (verdict == PathVerdict::kPathWorks ||
             now - check_started_ >= kLongestCheck) {
    check_.reset();
  }
}

auto TargetMonitor::IsReallySilent(const MonitorContext& context, TimePoint now)
    -> bool {
  auto& evidence = context.evidence;
  const auto last_answer = evidence.Own(target_).last_answer();
  if (last_answer > check_started_) {
    check_->OnProbe(true);
    return false;
  }
  // Another attempt may have been answered after the one that is overdue was
  // written, just before the target stopped. The response times of the peers
  // may have risen since the suspicion.
  const bool is_long_enough =
      check_->IsExplicitFailure() ||
      now - std::max(suspected_since_, last_answer) >=
          evidence.StallLimit(now) + ProbeTime(context, now);
  return is_long_enough && !evidence.IsCommonCause(target_, now);
}

auto TargetMonitor::JudgeAlarms(const MonitorContext& context, TimePoint now)
    -> void {
  if (!alarms_.IsRaised() || (refused_until_ && now < *refused_until_)) {
    return;
  }
  const auto sort = alarms_.Confirmed(context.evidence, now);
  if (!sort) {
    return;
  }
  switch (*sort) {
    case FailureClass::kServerError:
      AskPermit({EjectionCause::kServerErrors, alarms_.FailureRate(*sort)},
                now);
      return;
    case FailureClass::kSlow:
      AskPermit(
          {EjectionCause::kSlow, kSlowSeverity * alarms_.FailureRate(*sort)},
          now);
      return;
    case FailureClass::kPath:
      JudgeTimeouts(context, now);
      return;
  }
}

auto TargetMonitor::JudgeTimeouts(const MonitorContext& context, TimePoint now)
    -> void {
  if (check_) {
    return;
  }
  const auto onset = alarms_.Onset(FailureClass::kPath);
  if (!probe_passed_at_ || *probe_passed_at_ < onset) {
    StartCheck(context, now, now);
    return;
  }
  const bool is_corroborated =
      is_second_opinion_ || context.verifiers.empty() ||
      (reported_path_failures_ >= kCorroboration &&
       now - reported_path_failures_at_ < kReportMemory);
  if (is_corroborated) {
    AskPermit(
        {EjectionCause::kTimeouts, alarms_.FailureRate(FailureClass::kPath)},
        now);
    return;
  }
  orders_.ask_verifier = context.verifiers.front();
  MarkUnreachable(context.verifiers.front(), true, now);
}

auto TargetMonitor::ProbeWhenIdle(const MonitorContext& context, TimePoint now)
    -> void {
  const bool is_idle = now - last_outcome_ >= kIdleAfter &&
                       now >= idle_probe_at_ && !check_ && !idle_probe_started_;
  if (!is_idle || !TryProbe(context, now)) {
    return;
  }
  idle_probe_started_ = now;
  // Spread over half to one and a half intervals, so that the owners of many
  // targets do not probe in step.
  const auto spread = static_cast<Duration::rep>(
      random_.Below(static_cast<std::uint64_t>(kIdleAfter.count())));
  idle_probe_at_ = now + kIdleAfter / 2 + Duration(spread);
}

auto TargetMonitor::TryProbe(const MonitorContext& context, TimePoint now)
    -> bool {
  bool is_new = false;
  const bool may_probe = context.budget.TryStart(now, &is_new);
  orders_.start_probe = orders_.start_probe || is_new;
  return may_probe;
}

auto TargetMonitor::AskPermit(const EjectionGrounds& grounds, TimePoint now)
    -> void {
  if (refused_until_ && now < *refused_until_) {
    return;
  }
  if (std::holds_alternative<TrialPhase>(phase_)) {
    // A target in its trial does not count as capacity yet.
    Eject(grounds, now);
    return;
  }
  std::optional<TimePoint> ramping_since;
  if (const auto* ramping = std::get_if<RampingPhase>(&phase_)) {
    ramping_since = ramping->since;
  }
  phase_ = AwaitingPermitPhase{grounds, ramping_since, now, now};
}

auto TargetMonitor::Eject(const EjectionGrounds& grounds, TimePoint now)
    -> void {
  phase_ = EjectedPhase{grounds, now + backoff_.Eject(now), std::nullopt};
  alarms_.Reset(0, now);
  check_.reset();
  idle_probe_started_.reset();
  has_failed_probe_ = false;
  refused_until_.reset();
  is_second_opinion_ = false;
  is_due_ = true;
  orders_.retire_connections = true;
}

auto TargetMonitor::MarkUnreachable(const std::optional<VmId>& handed_to,
                                    bool timed_out,
                                    TimePoint now) -> void {
  phase_ = UnreachablePhase{handed_to, timed_out, now + backoff_.Eject(now),
                            std::nullopt};
  alarms_.Reset(0, now);
  check_.reset();
  idle_probe_started_.reset();
  has_failed_probe_ = false;
  is_due_ = true;
}

auto TargetMonitor::Admit(TimePoint now) -> void {
  phase_ = TrialPhase{now};
  alarms_.Reset(0, now);
  last_outcome_ = now;
  idle_probe_at_ = now;
  is_due_ = true;
}

auto TargetMonitor::EnterHealthy(TimePoint now) -> void {
  phase_ = HealthyPhase{};
  backoff_.Recover(now);
}

auto TargetMonitor::IsInUse() const -> bool {
  return !std::holds_alternative<EjectedPhase>(phase_) &&
         !std::holds_alternative<DrainingPhase>(phase_) &&
         !std::holds_alternative<UnreachablePhase>(phase_) &&
         !std::holds_alternative<AwaitingPermitPhase>(phase_);
}

auto TargetMonitor::ProbeTime(const MonitorContext& context,
                              TimePoint now) const -> Duration {
  return std::max(PathCheck::kLeastProbeTime, context.evidence.StallLimit(now));
}

auto TargetMonitor::NotePathFailure(
    const AttemptEnded& event,
    const std::optional<InFlightAttempt>& attempt,
    const MonitorContext& context,
    TimePoint now) -> void {
  // A failure on an old connection may be the connection's own; the check
  // that it starts retires it.
  const bool is_fresh = event.result == AttemptResult::kConnectFailed ||
                        (attempt && (attempt->fresh_connection ||
                                     attempt->started > retired_at_));
  if (is_fresh) {
    alarms_.Add(FailureClass::kPath, true, OutcomeSource::kOwnCallers,
                context.evidence, now);
  }
  // A path failure does not end a trial; the check tells whose fault it is.
  const auto since = attempt ? attempt->started : now - event.latency;
  const bool had_check = check_.has_value();
  StartCheck(context, since, now);
  const bool can_probe = now >= context.budget.NextAt();
  if (check_ && !had_check && !can_probe &&
      event.result == AttemptResult::kConnectFailed) {
    check_->OnProbe(false);
  }
  is_due_ = true;
}

}  // namespace flamingoyoke
