#include "decision/gateway/pool_dispatcher.h"

#include <algorithm>
#include <utility>

#include "core/answer_table.h"

namespace flamingoyoke {
namespace {

// Interval at which timeouts are checked while requests are queued or running.
constexpr Duration kCheckPeriod = std::chrono::milliseconds(20);
// Outcomes within this period are sent to the other gateways in one report. The
// period grows with the number of gateways so that a service costs each of them
// at most 200 reports per second in each direction.
constexpr Duration kReportPeriod = std::chrono::milliseconds(20);
constexpr Duration kReportPeriodPerPeer = std::chrono::milliseconds(5);
// Outcomes that change nothing for other gateways, such as successes on targets
// that this gateway owns, are reported at this interval.
constexpr Duration kCalmReportPeriod = std::chrono::milliseconds(250);
// The interval grows for successes of healthy targets by this multiple of the
// time that events wait in the loop of the gateway, up to the maximum. Other
// gateways trust the slots in use for a second, and a report may be as late as
// the events.
constexpr int kCalmPerDelay = 4;
constexpr Duration kMaxCalmReportPeriod = std::chrono::milliseconds(600);
// A report that is sent together with one of another service goes after this
// fraction of the periods. Without a limit, services that fail by turns would
// make the receivers handle a report of each of them with every message.
constexpr int kInvitedPeriodDivisor = 2;
// Interval while nothing runs, when only the slots in use are reported again.
constexpr Duration kIdleCheckPeriod = std::chrono::milliseconds(250);
// An attempt is overdue after this multiple of the expected service time.
constexpr double kOverdueFactor = 4.0;
constexpr Duration kMinOverdueAge = std::chrono::milliseconds(150);
// A repeatable request is hedged after this multiple of the expected service
// time.
constexpr double kHedgeFactor = 3.0;
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(80);
// Lower bound for the objective when computing the share of it spent waiting.
constexpr double kMinObjectiveSeconds = 0.01;
// A request is started only if this share of its expected service time is left.
constexpr double kMinTimeFactor = 0.5;
// Until service times are known, this share of the objective is expected.
constexpr double kAssumedTimeFactor = 0.3;
// Connection failures after which a request may still be retried. They do not
// count as attempts because nothing was sent.
constexpr std::uint32_t kMaxConnectFailures = 3;
// StartQueued stops after this many queued requests found no target.
constexpr std::size_t kMaxQueueMisses = 8;
// A target may end its work this long before the deadline, for the network
// delay and for rounding the remaining time to whole milliseconds.
constexpr Duration kDeadlineTolerance = std::chrono::milliseconds(20);
// A request is queued behind others only if its estimated wait times this fits
// its deadline. Otherwise a small growth of the wait would refuse it later.
constexpr double kQueuedWaitMargin = 1.25;
// Largest share of a gateway's slots that is set aside for more urgent requests
// when a wait is estimated. Without a short queue of less urgent requests slots
// stay empty whenever the more urgent ones pause.
constexpr double kMaxShareBefore = 0.8;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);

auto Scale(double factor, Duration duration) -> Duration {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

auto EvidenceFor(AttemptResult result) -> std::optional<Evidence> {
  switch (result) {
    case AttemptResult::kAnswered:
      return Evidence::kSucceeded;
    case AttemptResult::kServerError:
    case AttemptResult::kFalseRefusal:
      return Evidence::kFailed;
    case AttemptResult::kShed:
      return Evidence::kShed;
    case AttemptResult::kConnectFailed:
      return Evidence::kRefused;
    case AttemptResult::kTimeout:
      return Evidence::kTimedOut;
    case AttemptResult::kReset:
    case AttemptResult::kPartialAnswer:
      return Evidence::kBroken;
    case AttemptResult::kNoConnection:
    case AttemptResult::kCancelled:
      return std::nullopt;
  }
  return std::nullopt;
}

// Returns the error reported for a request whose last attempt ended with
// `result`.
auto ErrorFor(AttemptResult result) -> ErrorKind {
  switch (result) {
    case AttemptResult::kShed:
      return ErrorKind::kUpstreamShed;
    case AttemptResult::kConnectFailed:
      return ErrorKind::kNoTarget;
    case AttemptResult::kNoConnection:
      return ErrorKind::kOverloaded;
    case AttemptResult::kTimeout:
      return ErrorKind::kUpstreamTimeout;
    case AttemptResult::kPartialAnswer:
      return ErrorKind::kPartialAnswer;
    case AttemptResult::kFalseRefusal:
      return ErrorKind::kFalseRefusal;
    case AttemptResult::kAnswered:
    case AttemptResult::kServerError:
    case AttemptResult::kReset:
    case AttemptResult::kCancelled:
      return ErrorKind::kUpstreamReset;
  }
  return ErrorKind::kInternal;
}

// Returns whether nothing was sent to the target.
auto IsUnsent(AttemptResult result) -> bool {
  return result == AttemptResult::kConnectFailed ||
         result == AttemptResult::kNoConnection;
}

// Returns whether `result` proves that the target did not run the request.
auto IsNotRun(AttemptResult result) -> bool {
  return result == AttemptResult::kShed || IsUnsent(result);
}

}  // namespace

PoolDispatcher::PoolDispatcher(ServiceId service,
                               Random random,
                               const PoolLimits& limits)
    : service_(std::move(service)),
      limits_(limits),
      pool_(random, limits.floor_share),
      // Not the sequence of the pool, so that refusals don't change its
      // choices.
      random_(random.Next()),
      calm_report_period_(kCalmReportPeriod) {
  retry_budget_.Configure(limits.retry_share, limits.min_retries);
}

auto PoolDispatcher::OnEvent(const PoolEvent& event, TimePoint now)
    -> std::vector<PoolAction> {
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  RefuseUnreachable();
  CheckRunning();
  StartQueued();
  ReportToPeers();
  ScheduleTimer();
  return std::exchange(actions_, {});
}

auto PoolDispatcher::On(const PoolConfigured& event) -> void {
  pool_.Configure(event.targets, event.own_domain, now_, event.self,
                  event.owners);
  peers_ = event.peers;
  gateways_ = event.gateways;
  if (event.min_retries) {
    retry_budget_.Configure(limits_.retry_share, *event.min_retries);
  }
  RefuseWithoutTargets();
}

auto PoolDispatcher::RefuseWithoutTargets() -> void {
  if (pool_.HasUsable()) {
    return;
  }
  while (!queue_.empty()) {
    Refuse(requests_.at(queue_.front()), ErrorKind::kNoTarget);
  }
}

auto PoolDispatcher::On(const PoolTargetSignalled& event) -> void {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const auto& target = found->second.target;
  if (event.leaving) {
    ++counters_.leaving_answers;
    pool_.OnLeaving(target);
    RefuseWithoutTargets();
  }
  if (event.rest > Duration::zero()) {
    ++counters_.rest_answers;
    pool_.OnRest(target, event.rest, now_);
  }
}

auto PoolDispatcher::On(const PoolRequestArrived& event) -> void {
  ++counters_.arrived;
  auto& active = requests_[event.request];
  active.info = event;
  active.arrived = now_;
  queue_.OnArrived(FlowOf(active), now_);
  if (!pool_.HasUsable()) {
    Refuse(active, ErrorKind::kNoTarget);
    return;
  }
  if (queue_.size() >= limits_.max_queued) {
    Refuse(active, ErrorKind::kQueueFull);
    return;
  }
  if (const auto target = pool_.Choose(RequirementsOf(active), now_);
      target && queue_.empty()) {
    Start(active, *target);
    return;
  }
  const auto wait =
      Scale(queue_.empty() ? 1.0 : kQueuedWaitMargin, EstimateWait(active));
  if (!OpensInTime(active) ||
      now_ + wait + Scale(kMinTimeFactor, ExpectedServiceTime(active)) >
          event.deadline) {
    Refuse(active, ErrorKind::kDeadlineUnreachable);
    return;
  }
  Enqueue(active);
}

auto PoolDispatcher::On(const PoolRequestCancelled& event) -> void {
  Remove(event.request);
}

auto PoolDispatcher::On(const PoolRequestRevoked& event) -> void {
  const auto found = requests_.find(event.request);
  if (found == requests_.end()) {
    return;
  }
  auto& active = found->second;
  active.revoked = true;
  if (active.running.empty()) {
    Refuse(active, ErrorKind::kUnauthorized);
  }
}

auto PoolDispatcher::On(const PoolAttemptCommitted& event) -> void {
  const auto running = attempts_.find(event.attempt);
  if (running == attempts_.end()) {
    return;
  }
  auto& active = requests_.at(running->second.request);
  active.committed = true;
  const auto others = active.running;
  for (const auto attempt : others) {
    if (attempt != event.attempt) {
      pool_.OnEnded(attempts_.at(attempt).target, std::nullopt, now_);
      attempts_.erase(attempt);
      actions_.emplace_back(CancelAttempt{attempt});
    }
  }
  active.running = {event.attempt};
}

auto PoolDispatcher::On(const PoolAttemptEnded& event) -> void {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const auto ended = found->second;
  attempts_.erase(found);
  auto& active = requests_.at(ended.request);
  auto& running = active.running;
  running.erase(std::remove(running.begin(), running.end(), event.attempt),
                running.end());
  if (!IsNotRun(event.result)) {
    run_shares_.Add(active.info.priority, now_);
  }
  const auto evidence = AssessTarget(active, event.result);
  pool_.OnAnswered(ended.target,
                   event.result == AttemptResult::kAnswered
                       ? std::optional(now_ - ended.started)
                       : std::nullopt,
                   event.load, event.result == AttemptResult::kShed);
  pool_.OnEnded(ended.target, event.asked_for_rest ? std::nullopt : evidence,
                now_);
  if (event.other_instance) {
    pool_.OnReplaced(ended.target);
  } else if (event.result == AttemptResult::kShed) {
    pool_.OnShed(ended.target, now_);
  }
  if (event.result == AttemptResult::kAnswered) {
    service_times_.Add(active.info.work_class, now_ - ended.started);
    Deliver(active, event.attempt, false);
    return;
  }
  if (IsUnsent(event.result)) {
    --active.sent;
    ++active.connect_failures;
  }
  active.may_have_run = active.may_have_run || !IsNotRun(event.result);
  if (!running.empty()) {
    // The other attempt may still succeed.
    return;
  }
  if (!active.committed && QueueRetry(active, event.result)) {
    return;
  }
  if (IsDeliverable(event.result, active.info.repeatable)) {
    Deliver(active, event.attempt, true);
    return;
  }
  Refuse(active, active.revoked && IsNotRun(event.result)
                     ? ErrorKind::kUnauthorized
                     : ErrorFor(event.result));
}

auto PoolDispatcher::AssessTarget(const ActiveRequest& active,
                                  AttemptResult result)
    -> std::optional<Evidence> {
  const bool at_deadline = (result == AttemptResult::kServerError ||
                            result == AttemptResult::kFalseRefusal ||
                            result == AttemptResult::kTimeout) &&
                           now_ >= active.info.deadline - kDeadlineTolerance;
  const bool is_whole_run = at_deadline || result == AttemptResult::kAnswered;
  if (is_whole_run) {
    route_timeouts_.Add(active.info.route, at_deadline);
  }
  if (at_deadline && route_timeouts_.IsTimeoutTooShort(active.info.route)) {
    return std::nullopt;
  }
  return EvidenceFor(result);
}

auto PoolDispatcher::OpensInTime(const ActiveRequest& active) const -> bool {
  const auto opens = pool_.OpensAt(active.tried, now_);
  return opens && *opens + Scale(kMinTimeFactor, ExpectedServiceTime(active)) <=
                      active.info.deadline;
}

auto PoolDispatcher::QueueRetry(ActiveRequest& active, AttemptResult result)
    -> bool {
  const bool may_run_again = active.info.repeatable || IsNotRun(result);
  // A request goes to each target at most once. Without an untried target it
  // would stay in the queue until its deadline.
  if (active.revoked || !may_run_again || !OpensInTime(active) ||
      !CanStartInTime(active, PlaceOf(active),
                      SlotsFor(active.info.priority))) {
    return false;
  }
  if (IsUnsent(result)) {
    if (active.connect_failures > kMaxConnectFailures) {
      return false;
    }
  } else if (active.sent >= active.info.max_attempts ||
             !retry_budget_.Allow(now_)) {
    return false;
  }
  ++counters_.retried;
  Enqueue(active);
  return true;
}

auto PoolDispatcher::On(const PoolPeerReport& event) -> void {
  pool_.OnPeerReport(event.peer, event.outcomes, now_, event.sequence);
  pool_.OnPeerRequests(event.requests, now_);
}

auto PoolDispatcher::On(const PoolReportInvited& /*event*/) -> void {
  is_invited_ = true;
}

auto PoolDispatcher::On(const PoolLoopDelayed& event) -> void {
  calm_report_period_ = std::min(
      kMaxCalmReportPeriod, kCalmReportPeriod + kCalmPerDelay * event.delay);
  loop_delay_ = event.delay;
}

auto PoolDispatcher::On(const PoolResumed& /*event*/) -> void {
  pool_.OnResumed();
}

auto PoolDispatcher::On(const PoolTimer& /*event*/) -> void {
  scheduled_wake_.reset();
}

auto PoolDispatcher::StartQueued() -> void {
  std::vector<RequestId> missed;
  while (missed.size() < kMaxQueueMisses) {
    const auto next = queue_.Next(missed);
    if (!next) {
      return;
    }
    auto& active = requests_.at(*next);
    const auto target = pool_.Choose(RequirementsOf(active), now_);
    if (!target) {
      missed.push_back(*next);
      continue;
    }
    queue_.Erase(*next);
    Start(active, *target);
  }
}

auto PoolDispatcher::RefuseUnreachable() -> void {
  if (queue_.empty()) {
    return;
  }
  std::vector<RequestId> unreachable;
  std::optional<std::uint32_t> last_priority;
  SlotParts slots;
  queue_.Visit([&](RequestId id, const FairQueue::Place& place) {
    const auto& active = requests_.at(id);
    if (last_priority != active.info.priority) {
      last_priority = active.info.priority;
      slots = SlotsFor(active.info.priority);
    }
    const bool is_reachable = CanStartInTime(active, place, slots);
    if (!is_reachable) {
      unreachable.push_back(id);
    }
    return is_reachable;
  });
  for (const auto id : unreachable) {
    Refuse(requests_.at(id), ErrorKind::kDeadlineUnreachable);
  }
}

auto PoolDispatcher::CheckRunning() -> void {
  std::vector<RequestId> hedged;
  for (auto& [id, running] : attempts_) {
    auto& active = requests_.at(running.request);
    const auto expected_time = ExpectedServiceTime(active);
    // The answer may be here and wait for its turn.
    const auto age = now_ - running.started - loop_delay_;
    if (!running.overdue &&
        age > std::max(kMinOverdueAge, Scale(kOverdueFactor, expected_time))) {
      running.overdue = true;
      if (!route_timeouts_.IsTimeoutTooShort(active.info.route)) {
        pool_.OnOverdue(running.target, now_);
      }
    }
    if (active.info.repeatable && !active.committed && !active.revoked &&
        active.running.size() == 1 &&
        age > std::max(kMinHedgeDelay, Scale(kHedgeFactor, expected_time))) {
      hedged.push_back(running.request);
    }
  }
  for (const auto request : hedged) {
    Hedge(requests_.at(request));
  }
}

auto PoolDispatcher::Hedge(ActiveRequest& active) -> void {
  if (active.sent >= active.info.max_attempts ||
      queue_.Contains(active.info.request) || IsTooLate(active) ||
      !retry_budget_.HasBudget(now_)) {
    return;
  }
  const auto target = pool_.Choose(RequirementsOf(active), now_);
  if (!target || !retry_budget_.Allow(now_)) {
    return;
  }
  ++counters_.hedged;
  Start(active, *target);
}

auto PoolDispatcher::Start(ActiveRequest& active, const TargetId& target)
    -> void {
  const AttemptId attempt(++last_attempt_);
  const bool is_first = active.sent == 0 && active.connect_failures == 0;
  if (is_first) {
    retry_budget_.OnFirstAttempt(now_);
  }
  queue_.OnStarted(FlowOf(active), is_first, now_);
  ++active.sent;
  active.tried.push_back(target);
  active.running.push_back(attempt);
  attempts_.emplace(attempt, RunningAttempt{active.info.request, target, now_});
  active.is_trial = pool_.IsTrial();
  pool_.OnStarted(target, now_);
  actions_.emplace_back(StartAttempt{active.info.request, attempt, target});
}

auto PoolDispatcher::Deliver(const ActiveRequest& active,
                             AttemptId attempt,
                             bool is_error) -> void {
  ++counters_.delivered;
  counters_.delivered_errors += is_error ? 1 : 0;
  pool_.OnRequestEnded(!is_error || active.is_trial, now_);
  actions_.emplace_back(DeliverAnswer{active.info.request, attempt});
  Remove(active.info.request);
}

auto PoolDispatcher::Refuse(const ActiveRequest& active, ErrorKind error)
    -> void {
  // An earlier attempt may have run the request even if the last one did not.
  const bool claims_not_run = AnswerFor(error).outcome == Outcome::kNotRun;
  const auto reported_error =
      active.may_have_run && claims_not_run ? ErrorKind::kUpstreamReset : error;
  if (error != ErrorKind::kUnauthorized) {
    // A key that was taken away says nothing about the targets.
    pool_.OnRequestEnded(active.is_trial, now_);
  }
  if (AnswerFor(reported_error).outcome == Outcome::kUnknown) {
    ++counters_.unknown;
  } else {
    ++counters_.refused;
  }
  ++counters_.refused_by[static_cast<std::size_t>(reported_error)];
  // Spread, so that callers refused together don't return together.
  const auto ahead = PlaceOf(active).ahead;
  const auto wait = EstimateTurnWait(active, ahead);
  RefuseRequest refusal{
      active.info.request, reported_error,
      Scale(1 + random_.Unit(), std::max(kMinRetryAfter, wait))};
  if (reported_error == ErrorKind::kDeadlineUnreachable) {
    const auto targets = pool_.CountOpen(now_);
    const auto last = pool_.last_evidence();
    refusal.estimate = AdmissionEstimate{
        .slots = SlotsFor(ahead == 0 ? 0 : active.info.priority).usable,
        .wait = wait,
        .run_time = ExpectedServiceTime(active),
        .open_targets = targets.open,
        .usable_targets = targets.usable,
        .evidence_age = last ? std::optional(now_ - *last) : std::nullopt};
  }
  actions_.emplace_back(refusal);
  Remove(active.info.request);
}

auto PoolDispatcher::Remove(RequestId request) -> void {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  queue_.Erase(request);
  for (const auto attempt : found->second.running) {
    const auto running = attempts_.find(attempt);
    pool_.OnEnded(running->second.target, std::nullopt, now_);
    attempts_.erase(running);
    actions_.emplace_back(CancelAttempt{attempt});
  }
  requests_.erase(found);
}

auto PoolDispatcher::ReportToPeers() -> void {
  const bool is_invited = std::exchange(is_invited_, false);
  const auto divisor = is_invited ? kInvitedPeriodDivisor : 1;
  const auto period =
      std::max(kReportPeriod, kReportPeriodPerPeer *
                                  static_cast<std::int64_t>(peers_.size())) /
      divisor;
  // Evidence about targets is no later while the processor is short.
  const auto calm_period =
      pool_.has_unexpected() ? kCalmReportPeriod : calm_report_period_;
  const bool is_calm_due =
      !last_full_report_ || now_ - *last_full_report_ >= calm_period / divisor;
  if (!pool_.has_unreported() || (!pool_.has_urgent() && !is_calm_due) ||
      (last_report_ && now_ - *last_report_ < period)) {
    return;
  }
  if (!is_invited || pool_.has_urgent()) {
    // Calm outcomes that went with other reports don't delay a failure.
    last_report_ = now_;
  }
  if (is_calm_due) {
    last_full_report_ = now_;
  }
  const auto unreported = pool_.TakeUnreportedOutcomes(now_, !is_calm_due);
  const auto requests = pool_.TakeUnreportedRequests();
  if (unreported.empty() && requests == RequestCounts()) {
    return;
  }
  ++last_report_sequence_;
  for (const auto& peer : peers_) {
    actions_.emplace_back(SendToPeer{
        peer,
        OutcomeReport{service_, unreported, requests, last_report_sequence_}});
  }
}

auto PoolDispatcher::ScheduleTimer() -> void {
  const bool busy = !queue_.empty() || !attempts_.empty();
  if (!busy && !pool_.has_unreported()) {
    return;
  }
  const auto wake =
      now_ + (busy || pool_.has_unreported() ? kCheckPeriod : kIdleCheckPeriod);
  if (scheduled_wake_ && *scheduled_wake_ <= wake && *scheduled_wake_ > now_) {
    return;
  }
  scheduled_wake_ = wake;
  actions_.emplace_back(WakePoolAt{wake});
}

auto PoolDispatcher::RequirementsOf(const ActiveRequest& active) const
    -> TargetRequirements {
  TargetRequirements requirements;
  requirements.may_retry = active.info.repeatable &&
                           active.sent + 1 < active.info.max_attempts &&
                           retry_budget_.HasBudget(now_);
  requirements.body_bytes = active.info.body_bytes;
  requirements.tried = &active.tried;
  requirements.wait_share =
      ToSeconds(now_ - active.arrived) /
      std::max(ToSeconds(active.info.objective), kMinObjectiveSeconds);
  return requirements;
}

auto PoolDispatcher::ExpectedServiceTime(const ActiveRequest& active) const
    -> Duration {
  const auto mean = service_times_.Mean(active.info.work_class);
  return mean > Duration::zero()
             ? mean
             : Scale(kAssumedTimeFactor, active.info.objective);
}

auto PoolDispatcher::EstimateWait(const ActiveRequest& active) const
    -> Duration {
  const auto place = PlaceOf(active);
  const auto wait = EstimateTurnWait(active, place.ahead);
  return place.guaranteed ? std::min(wait, *place.guaranteed) : wait;
}

auto PoolDispatcher::EstimateTurnWait(const ActiveRequest& active,
                                      std::size_t ahead) const -> Duration {
  // More urgent requests that are yet to come delay a long wait only.
  const auto slots = SlotsFor(ahead == 0 ? 0 : active.info.priority);
  if (slots.open <= 0) {
    // Targets that rest open again at a known time.
    const auto opens = pool_.OpensAt({}, now_);
    return opens && *opens > now_ ? *opens - now_ : active.info.objective;
  }
  return EstimateTurn(active, ahead + 1, slots);
}

auto PoolDispatcher::SlotsFor(std::uint32_t priority) const -> SlotParts {
  const auto before = run_shares_.ShareBefore(priority, now_);
  // The slots are shared with the other gateways.
  const auto part = (1 - std::min(before, kMaxShareBefore)) *
                    (1 - queue_.GuaranteedAfter(priority)) /
                    static_cast<double>(gateways_);
  const auto targets = pool_.CountOpen(now_);
  return {.usable = part * targets.usable_slots,
          .open = part * targets.open_slots};
}

auto PoolDispatcher::PlaceOf(const ActiveRequest& active) const
    -> FairQueue::Place {
  return queue_.PlaceOf(active.info.request, FlowOf(active),
                        active.info.deadline);
}

auto PoolDispatcher::EstimateTurn(const ActiveRequest& active,
                                  std::size_t started,
                                  const SlotParts& slots) const -> Duration {
  const auto turn = [&](double part) {
    return Scale(static_cast<double>(started) / part,
                 ExpectedServiceTime(active));
  };
  const auto patience =
      std::max(TargetPool::MaxWaitForHealthy(active.info.objective) -
                   (now_ - active.arrived),
               Duration::zero());
  const auto any = patience + turn(slots.open);
  return slots.usable <= 0 ? any : std::min(turn(slots.usable), any);
}

auto PoolDispatcher::CanStartInTime(const ActiveRequest& active,
                                    const FairQueue::Place& place,
                                    const SlotParts& slots) const -> bool {
  // Without a usable slot the wait is unknown.
  const auto turn = slots.usable <= 0
                        ? Duration::zero()
                        : EstimateTurn(active, place.ahead, slots);
  const auto wait = std::min(turn, place.guaranteed.value_or(turn));
  return wait + Scale(kMinTimeFactor, ExpectedServiceTime(active)) <=
         active.info.deadline - now_;
}

auto PoolDispatcher::IsTooLate(const ActiveRequest& active) const -> bool {
  return active.info.deadline - now_ <
         Scale(kMinTimeFactor, ExpectedServiceTime(active));
}

auto PoolDispatcher::FlowOf(const ActiveRequest& active) -> FairQueue::FlowId {
  return {active.info.priority, active.info.team, active.info.route};
}

auto PoolDispatcher::Enqueue(const ActiveRequest& active) -> void {
  queue_.Insert(active.info.request, FlowOf(active), active.info.deadline);
}

}  // namespace flamingoyoke
