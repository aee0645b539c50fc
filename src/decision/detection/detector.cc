#include "decision/detection/detector.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

// Interval at which the share of a ramping target rises; see ShareOf().
constexpr Duration kRampStepDuration = kRampDuration / 20;
// Limits the consecutive state changes of one target per event.
constexpr int kMaxAdvancesPerEvent = 4;

template <typename Message>
concept HasServiceField = requires(const Message& message) {
  message.service;
};

}  // namespace

Detector::Detector(Random random) : random_(random) {}

auto Detector::OnEvent(const DetectionEvent& event, TimePoint now)
    -> std::vector<DetectionAction> {
  const bool is_first = std::holds_alternative<DetectionConfigured>(event);
  if (!configuration_ && !is_first) {
    return {};
  }
  std::visit([&](const auto& specific) { Apply(specific, now); }, event);
  return std::exchange(actions_, {});
}

auto Detector::Statuses() const -> std::vector<TargetStatus> {
  std::vector<TargetStatus> statuses;
  if (!configuration_) {
    return statuses;
  }
  for (const auto& target : configuration_->row.targets) {
    statuses.push_back(shares_.StatusOf(target.id));
  }
  return statuses;
}

auto Detector::OwnedTargets() const -> std::vector<TargetId> {
  std::vector<TargetId> owned;
  for (const auto& [target, monitor] : monitors_) {
    const auto* unreachable = std::get_if<UnreachablePhase>(&monitor.phase());
    if (unreachable == nullptr || !unreachable->handed_over_to) {
      owned.push_back(target);
    }
  }
  return owned;
}

auto Detector::Apply(const DetectionConfigured& event, TimePoint now) -> void {
  const bool is_first = !configuration_;
  const auto known = std::exchange(row_targets_, {});
  configuration_ = event;
  std::vector<TargetId> targets;
  for (const auto& spec : event.row.targets) {
    targets.push_back(spec.id);
    row_targets_.insert(spec.id);
    budgets_[spec.id].SetMemberCount(event.home.size());
  }
  const auto is_gone = [&](const auto& entry) {
    return !row_targets_.contains(entry.first);
  };
  std::erase_if(budgets_, is_gone);
  drains_.Retain(row_targets_);
  shares_.Retain(row_targets_);
  std::erase_if(takeovers_, is_gone);
  notices_.Retain(targets);
  for (const auto& target : known) {
    if (!row_targets_.contains(target)) {
      notice_publisher_.Forget(target);
      borrowed_.Forget(target);
      StopMonitor(target);
    }
  }
  std::vector<TargetId> released;
  for (const auto& [target, monitor] : monitors_) {
    if (!IsConfiguredOwner(target) && !takeovers_.contains(target)) {
      released.push_back(target);
    }
  }
  for (const auto& target : released) {
    StopMonitor(target);
    notice_publisher_.Forget(target);
  }
  for (const auto& target : event.owned) {
    takeovers_.erase(target);
    if (row_targets_.contains(target) && !monitors_.contains(target)) {
      StartMonitor(target, !is_first && !known.contains(target), now);
    }
  }
  peers_.Configure(event.self, event.home);
  Reconcile(now);
}

auto Detector::Apply(const AttemptStarted& event, TimePoint now) -> void {
  const auto found = monitors_.find(event.target);
  if (found != monitors_.end()) {
    found->second.OnStarted(event, stats_, now);
  } else if (HasTarget(event.target)) {
    borrowed_.OnStarted(event.target,
                        {event.attempt, now, event.is_new_connection, false});
  }
  EnsureWakeBy(now + stats_.OverdueThreshold(now));
}

auto Detector::Apply(const AttemptEnded& event, TimePoint now) -> void {
  const auto found = monitors_.find(event.target);
  borrowed_.OnEnded(event.target, event.attempt);
  if (found != monitors_.end()) {
    found->second.OnEnded(event, Context(event.target), now);
    if (found->second.IsDue()) {
      Reconcile(now);
    }
    return;
  }
  const bool has_failed = event.result == AttemptResult::kServerError;
  if (has_failed || event.result == AttemptResult::kAnswered) {
    stats_.BorrowedCallerErrors().Add({1, has_failed ? 1U : 0U}, now);
  }
  const bool is_path = event.result == AttemptResult::kTimeout ||
                       event.result == AttemptResult::kReset ||
                       event.result == AttemptResult::kConnectFailed ||
                       event.result == AttemptResult::kPartialAnswer;
  if (HasTarget(event.target) && event.result != AttemptResult::kCancelled &&
      borrowed_.OnOutcome(event.target, is_path, now)) {
    actions_.emplace_back(RetireConnections{event.target});
    Reconcile(now);
  }
}

auto Detector::Apply(const ProbeEnded& event, TimePoint now) -> void {
  if (!HasTarget(event.target)) {
    return;
  }
  budgets_[event.target].End();
  verifier_.OnProbe(event.target, event.passed, now);
  const auto found = monitors_.find(event.target);
  if (found != monitors_.end()) {
    auto& monitor = found->second;
    const bool was_unreachable =
        std::holds_alternative<UnreachablePhase>(monitor.phase());
    monitor.OnProbe(event.passed, now);
    const auto noticed = notices_.WorstState(event.target, now);
    // The member that took the target over may have ejected it.
    if (was_unreachable && noticed && noticed->state == TargetState::kEjected &&
        std::holds_alternative<TrialPhase>(monitor.phase())) {
      monitor.InheritEjection(noticed->severity, now);
    }
  }
  Reconcile(now);
}

auto Detector::Apply(const DrainSignalled& event, TimePoint now) -> void {
  if (!HasTarget(event.target)) {
    return;
  }
  if (event.draining) {
    drains_.Set(event.target);
  } else {
    drains_.Clear(event.target);
    notices_.ClearDrains(event.target);
  }
  Reconcile(now);
}

auto Detector::Apply(const DetectionPeerMessage& event, TimePoint now) -> void {
  if (event.sender == configuration_->self) {
    return;
  }
  std::visit(
      [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (HasServiceField<Message> &&
                      !std::is_same_v<Message, SlotRequest> &&
                      !std::is_same_v<Message, SlotLoan> &&
                      !std::is_same_v<Message, SlotRecall>) {
          if (message.service == configuration_->row.service) {
            peers_.OnHeard(event.sender);
            ApplyMessage(event.sender, message, now);
          }
        }
      },
      event.message);
}

auto Detector::Apply(const DetectionPeerLost& event, TimePoint now) -> void {
  stats_.ForgetMember(event.peer);
  peers_.OnLost(event.peer);
  Reconcile(now);
}

auto Detector::Apply(const DetectionResumed& /*event*/, TimePoint now) -> void {
  stats_.Clear();
  notices_.Resume(now);
  permit_issuer_.Clear();
  verifier_.Clear();
  borrowed_.Clear();
  peers_.ForgetBorrowers();
  drains_.Resume(now, EjectionNoticeStore::kLifetimeAfterResume);
  for (auto& [target, budget] : budgets_) {
    budget.End();
  }
  for (auto& [target, monitor] : monitors_) {
    monitor.Resume(now);
  }
  wake_at_ = TimePoint::max();
  Reconcile(now);
}

auto Detector::Apply(const DetectionTimer& /*event*/, TimePoint now) -> void {
  wake_at_ = TimePoint::max();
  Reconcile(now);
}

auto Detector::ApplyMessage(const VmId& sender,
                            const LoadReport& message,
                            TimePoint now) -> void {
  stats_.OnLoadReport(sender, message, now);
}

auto Detector::ApplyMessage(const VmId& sender,
                            const SlotReturn& message,
                            TimePoint now) -> void {
  if (reports_.IsNew(sender, message.loan, message.outcomes, now)) {
    ApplyOutcomes(sender, message.outcomes, now);
  }
}

auto Detector::ApplyMessage(const VmId& sender,
                            const OutcomeReport& message,
                            TimePoint now) -> void {
  if (reports_.IsNew(sender, LoanId(), message.outcomes, now)) {
    ApplyOutcomes(sender, message.outcomes, now);
  }
}

auto Detector::ApplyMessage(const VmId& sender,
                            const EjectionNotice& message,
                            TimePoint now) -> void {
  if (HasTarget(message.target)) {
    notices_.OnNotice(sender, message, now);
    Reconcile(now);
  }
}

auto Detector::ApplyMessage(const VmId& sender,
                            const EjectionPermitRequest& message,
                            TimePoint now) -> void {
  if (!HasTarget(message.target) ||
      !peers_.IsPermitIssuer(configuration_->self)) {
    return;
  }
  Send(sender, EjectionPermit{configuration_->row.service, message.target,
                              TryGrantPermit(message.target, now)});
}

auto Detector::ApplyMessage(const VmId& sender,
                            const EjectionPermit& message,
                            TimePoint now) -> void {
  const auto found = monitors_.find(message.target);
  if (found == monitors_.end() || !peers_.IsPermitIssuer(sender)) {
    return;
  }
  found->second.OnPermit(message.granted, now);
  Reconcile(now);
}

auto Detector::ApplyMessage(const VmId& sender,
                            const VerifyRequest& message,
                            TimePoint now) -> void {
  if (HasTarget(message.target)) {
    verifier_.OnRequest(sender, message.target, now);
    Reconcile(now);
  }
}

auto Detector::ApplyMessage(const VmId& sender,
                            const VerifyAnswer& message,
                            TimePoint now) -> void {
  const auto found = monitors_.find(message.target);
  if (found != monitors_.end()) {
    found->second.OnVerifyAnswer(sender, message.reachable);
    Reconcile(now);
  }
}

auto Detector::ApplyOutcomes(const VmId& sender,
                             const std::vector<TargetOutcomes>& outcomes,
                             TimePoint now) -> void {
  peers_.OnOutcomes(sender, now);
  bool is_due = false;
  for (const auto& entry : outcomes) {
    const auto found = monitors_.find(entry.target);
    if (found != monitors_.end()) {
      found->second.OnReported(entry, stats_, now);
      is_due = is_due || found->second.IsDue();
    }
  }
  if (is_due) {
    Reconcile(now);
  }
}

auto Detector::StartMonitor(const TargetId& target, bool is_cold, TimePoint now)
    -> TargetMonitor& {
  auto& monitor =
      monitors_.try_emplace(target, target, Random(random_.Next()), now)
          .first->second;
  const auto noticed = notices_.WorstState(target, now);
  const bool was_ejected =
      noticed && (noticed->state == TargetState::kEjected ||
                  noticed->state == TargetState::kTrial);
  if (was_ejected) {
    monitor.InheritEjection(noticed->severity, now);
  } else if (is_cold) {
    monitor.StartCold(now);
  }
  return monitor;
}

auto Detector::StopMonitor(const TargetId& target) -> void {
  monitors_.erase(target);
  stats_.Forget(target);
}

auto Detector::Context(const TargetId& target) -> MonitorContext {
  return {stats_,
          budgets_[target],
          peers_.verifiers(),
          configuration_->row.slots,
          peers_.IsAlone(),
          peers_.HasPermitIssuer()};
}

auto Detector::Reconcile(TimePoint now) -> void {
  SyncTakeovers(now);
  SyncDrains(now);
  for (auto& [target, monitor] : monitors_) {
    AdvanceMonitor(target, monitor, now);
  }
  ReportOverdue(now);
  AnswerVerifications(now);
  // A positive answer sent just now may complete a pending takeover.
  SyncTakeovers(now);
  PublishNotices(now);
  PublishShares(now);
  ScheduleWake(now);
}

auto Detector::SyncTakeovers(TimePoint now) -> void {
  std::vector<TargetId> ended;
  for (const auto& [target, member] : takeovers_) {
    if (!notices_.IsUnreachableFor(member, target, now)) {
      ended.push_back(target);
    }
  }
  for (const auto& target : ended) {
    takeovers_.erase(target);
    notice_publisher_.Forget(target);
    StopMonitor(target);
  }
  for (const auto& target : row_targets_) {
    if (monitors_.contains(target)) {
      continue;
    }
    for (const auto& member : configuration_->home) {
      if (notices_.IsUnreachableFor(member.id, target, now) &&
          verifier_.HasConfirmedReachable(member.id, target, now)) {
        takeovers_[target] = member.id;
        StartMonitor(target, false, now).SetTimeoutsCorroborated();
        break;
      }
    }
  }
}

auto Detector::SyncDrains(TimePoint now) -> void {
  drains_.RemoveExpired(now);
  for (auto& [target, monitor] : monitors_) {
    // Only drain signals that a node received itself are repeated. Otherwise
    // two owners could renew each other's drain notices forever.
    monitor.SetDraining(
        drains_.Has(target, now) || notices_.HasDirectDrain(target, now), now);
  }
}

auto Detector::AdvanceMonitor(const TargetId& target,
                              TargetMonitor& monitor,
                              TimePoint now) -> void {
  const auto context = Context(target);
  for (int i = 0; i < kMaxAdvancesPerEvent; ++i) {
    const auto actions = monitor.Advance(context, now);
    if (actions.retire_connections) {
      actions_.emplace_back(RetireConnections{target});
    }
    if (actions.start_probe) {
      actions_.emplace_back(StartProbe{target});
    }
    if (actions.ask_verifier) {
      Send(*actions.ask_verifier,
           VerifyRequest{configuration_->row.service, target});
    }
    if (actions.ask_permit && peers_.IsPermitIssuer(configuration_->self)) {
      monitor.OnPermit(TryGrantPermit(target, now), now);
    } else if (actions.ask_permit) {
      Send(configuration_->home.front().id,
           EjectionPermitRequest{configuration_->row.service, target});
    }
    if (!monitor.IsDue()) {
      return;
    }
  }
}

auto Detector::TryGrantPermit(const TargetId& target, TimePoint now) -> bool {
  std::set<TargetId> out_of_use;
  for (const auto& spec : configuration_->row.targets) {
    const auto state = EvaluateTarget(spec, now).state;
    if (state == TargetState::kEjected || state == TargetState::kTrial ||
        state == TargetState::kDraining) {
      out_of_use.insert(spec.id);
    }
  }
  return permit_issuer_.TryGrant(configuration_->row, target, out_of_use, now);
}

auto Detector::ReportOverdue(TimePoint now) -> void {
  const auto limit = stats_.OverdueThreshold(now);
  for (const auto& target : borrowed_.TakeOverdue(limit, now)) {
    actions_.emplace_back(RetireConnections{target});
    TargetOutcomes outcomes;
    outcomes.target = target;
    outcomes.timed_out = 1;
    // Members that do not own the target ignore the report.
    for (const auto& member : peers_.others()) {
      Send(member, OutcomeReport{configuration_->row.service, {outcomes}});
    }
  }
}

auto Detector::AnswerVerifications(TimePoint now) -> void {
  for (const auto& target : verifier_.TargetsAwaitingProbe()) {
    if (!HasTarget(target)) {
      continue;
    }
    if (verifier_.TryProbe(target, budgets_[target], now)) {
      actions_.emplace_back(StartProbe{target});
    }
  }
  for (const auto& answer : verifier_.TakeAnswers(ProbeTimeout(now), now)) {
    Send(answer.requester, VerifyAnswer{configuration_->row.service,
                                        answer.target, answer.reachable});
  }
}

auto Detector::PublishNotices(TimePoint now) -> void {
  for (const auto& target : row_targets_) {
    const auto found = monitors_.find(target);
    const bool has_drain = drains_.Has(target, now);
    auto state = TargetState::kHealthy;
    double severity = 0;
    if (has_drain) {
      state = TargetState::kDraining;
      severity = EjectionNoticeStore::kDirectDrainSeverity;
    } else if (found != monitors_.end()) {
      state = StateOf(found->second.phase());
      severity = SeverityOf(found->second.phase());
    }
    if (auto notice = notice_publisher_.Update(target, state, severity, now)) {
      notice->service = configuration_->row.service;
      for (const auto& receiver : peers_.NoticeReceivers(now)) {
        Send(receiver, *notice);
      }
    }
  }
}

auto Detector::PublishShares(TimePoint now) -> void {
  std::vector<DesiredShare> desired;
  for (const auto& spec : configuration_->row.targets) {
    desired.push_back({EvaluateTarget(spec, now), SeverityFor(spec.id, now)});
  }
  for (auto& change :
       shares_.Update(configuration_->row, std::move(desired), now)) {
    actions_.emplace_back(std::move(change));
  }
}

auto Detector::EvaluateTarget(const TargetSpec& spec, TimePoint now) const
    -> TargetStatus {
  TargetStatus status;
  status.target = spec.id;
  const auto found = monitors_.find(spec.id);
  if (found != monitors_.end()) {
    const auto& phase = found->second.phase();
    status.state = StateOf(phase);
    status.reason = ReasonOf(phase);
    status.share = ShareOf(phase, configuration_->row.slots, now);
    // The monitor ignores a drain notice that another owner only repeats, but
    // such a notice still stops the use of the target here.
    const auto noticed = notices_.WorstState(spec.id, now);
    if (!noticed || noticed->state != TargetState::kDraining ||
        status.state == TargetState::kDraining) {
      return status;
    }
  }
  if (drains_.Has(spec.id, now)) {
    status.state = TargetState::kDraining;
    status.reason = "drain signal";
    status.share = 0;
    return status;
  }
  if (const auto noticed = notices_.WorstState(spec.id, now)) {
    status.state = noticed->state;
    status.reason = "notice from " + noticed->sender.value();
    const bool is_used = noticed->state == TargetState::kRamping;
    const double trial =
        1.0 / std::max<std::uint32_t>(configuration_->row.slots, 1);
    status.share = noticed->state == TargetState::kTrial ? trial : is_used;
  }
  if (borrowed_.IsAvoided(spec.id, now) &&
      status.state != TargetState::kDraining) {
    status.state = TargetState::kUnreachable;
    status.reason = "not reached from here";
    status.share = 0;
  }
  return status;
}

auto Detector::SeverityFor(const TargetId& target, TimePoint now) const
    -> double {
  const auto found = monitors_.find(target);
  if (found != monitors_.end()) {
    return SeverityOf(found->second.phase());
  }
  const auto noticed = notices_.WorstState(target, now);
  return noticed ? noticed->severity : 0;
}

auto Detector::ScheduleWake(TimePoint now) -> void {
  auto wake =
      std::min({notice_publisher_.NextWake(), notices_.NextExpiry(now),
                borrowed_.NextWake(now), verifier_.NextWake(ProbeTimeout(now)),
                drains_.NextExpiry()});
  for (const auto& target : verifier_.TargetsAwaitingProbe()) {
    wake = std::min(wake, budgets_[target].NextStartAt());
  }
  for (const auto& [target, monitor] : monitors_) {
    wake = std::min(wake, monitor.NextWake(Context(target), now));
    if (StateOf(monitor.phase()) == TargetState::kRamping) {
      wake = std::min(wake, now + kRampStepDuration);
    }
  }
  wake = std::max(wake, now + std::chrono::milliseconds(1));
  if (wake != TimePoint::max() && wake != wake_at_) {
    wake_at_ = wake;
    actions_.emplace_back(WakeDetectorAt{wake});
  }
}

auto Detector::EnsureWakeBy(TimePoint at) -> void {
  if (at < wake_at_) {
    wake_at_ = at;
    actions_.emplace_back(WakeDetectorAt{at});
  }
}

auto Detector::Send(const VmId& peer, PeerMessage message) -> void {
  actions_.emplace_back(SendToPeer{peer, std::move(message)});
}

auto Detector::HasTarget(const TargetId& target) const -> bool {
  return row_targets_.contains(target);
}

auto Detector::IsConfiguredOwner(const TargetId& target) const -> bool {
  const auto& owned = configuration_->owned;
  return std::find(owned.begin(), owned.end(), target) != owned.end();
}

auto Detector::ProbeTimeout(TimePoint now) -> Duration {
  return std::max(PathCheck::kMinProbeTimeout, stats_.OverdueThreshold(now));
}

}  // namespace flamingoyoke
