#include "decision/gateway/pool_dispatcher.h"

#include <algorithm>
#include <utility>

#include "core/answer_table.h"

namespace flamingoyoke {
namespace {

// While requests wait or run, all bounds in time are checked this often.
constexpr Duration kTick = std::chrono::milliseconds(20);
// Outcomes of this span share a report to the other gateways. With many
// gateways the span grows, so that a service costs each of them 200 reports a
// second in each direction at most.
constexpr Duration kTellPeriod = std::chrono::milliseconds(20);
constexpr Duration kTellPeriodPerPeer = std::chrono::milliseconds(5);
// While nothing runs, only slots in use have to be repeated.
constexpr Duration kIdleTick = std::chrono::milliseconds(250);
// An attempt is overdue beyond this many typical times.
constexpr double kOverdueFactor = 4.0;
constexpr Duration kLeastOverdue = std::chrono::milliseconds(150);
// Repeatable work gets a second attempt after this many typical times.
constexpr double kHedgeFactor = 3.0;
constexpr Duration kLeastHedge = std::chrono::milliseconds(80);
// Objectives below this are taken for this.
constexpr double kLeastObjectiveSeconds = 0.01;
// A request needs at least this part of a typical time to be worth a start.
constexpr double kLeastPart = 0.5;
// Before times are known, work is taken to last this part of its objective.
constexpr double kAssumedPart = 0.3;
// Connections that may fail before a request is given up; nothing was sent.
constexpr std::uint32_t kMaxConnectFailures = 3;
// Waiting requests that are looked at in a row without a free target.
constexpr int kMaxMisses = 8;
// Shortest time after which a refused caller may come back.
// A target ends its work this much before the deadline at most: one way of a
// message and the rounding of the time left to whole milliseconds.
constexpr Duration kDeadlineSlack = std::chrono::milliseconds(20);
constexpr Duration kLeastRetryAfter = std::chrono::milliseconds(50);

auto Times(double factor, Duration duration) -> Duration {
  return Duration(static_cast<std::int64_t>(
      factor * static_cast<double>(duration.count())));
}

auto EvidenceOf(AttemptResult result) -> std::optional<Evidence> {
  switch (result) {
    case AttemptResult::kAnswered:
      return Evidence::kSucceeded;
    case AttemptResult::kServerError:
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
    case AttemptResult::kCancelled:
      return std::nullopt;
  }
  return std::nullopt;
}

// Error that is true of a request whose last attempt ended so.
auto ErrorOf(AttemptResult result) -> ErrorKind {
  switch (result) {
    case AttemptResult::kShed:
      return ErrorKind::kUpstreamShed;
    case AttemptResult::kConnectFailed:
      return ErrorKind::kNoTarget;
    case AttemptResult::kTimeout:
      return ErrorKind::kUpstreamTimeout;
    case AttemptResult::kPartialAnswer:
      return ErrorKind::kPartialAnswer;
    case AttemptResult::kAnswered:
    case AttemptResult::kServerError:
    case AttemptResult::kReset:
    case AttemptResult::kCancelled:
      return ErrorKind::kUpstreamReset;
  }
  return ErrorKind::kInternal;
}

// Whether the target has proved that the request did not run there.
auto IsNotRun(AttemptResult result) -> bool {
  return result == AttemptResult::kShed ||
         result == AttemptResult::kConnectFailed;
}

}  // namespace

PoolDispatcher::PoolDispatcher(ServiceId service,
                               Random random,
                               const PoolLimits& limits)
    : service_(std::move(service)),
      limits_(limits),
      pool_(random, limits.floor_share) {
  retries_.Configure(limits.retry_share, limits.retry_least);
}

auto PoolDispatcher::OnEvent(const PoolEvent& event, TimePoint now)
    -> std::vector<PoolAction> {
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  ExpireWaiting();
  WatchRunning();
  RunWaiting();
  Tell();
  OrderWake();
  return std::exchange(actions_, {});
}

auto PoolDispatcher::On(const PoolConfigured& event) -> void {
  pool_.Configure(event.targets, event.own_domain, now_);
  peers_ = event.peers;
  gateways_ = event.gateways;
  if (event.retry_least) {
    retries_.Configure(limits_.retry_share, *event.retry_least);
  }
  if (pool_.HasUsable()) {
    return;
  }
  while (!queue_.empty()) {
    Refuse(requests_.at(std::get<RequestId>(*queue_.begin())),
           ErrorKind::kNoTarget);
  }
}

auto PoolDispatcher::On(const PoolRequestArrived& event) -> void {
  ++counters_.arrived;
  auto& tracked = requests_[event.request];
  tracked.info = event;
  tracked.arrived = now_;
  if (!pool_.HasUsable()) {
    Refuse(tracked, ErrorKind::kNoTarget);
    return;
  }
  if (queue_.size() >= limits_.queue) {
    Refuse(tracked, ErrorKind::kQueueFull);
    return;
  }
  if (const auto target = pool_.Choose(WishOf(tracked), now_);
      target && queue_.empty()) {
    Start(tracked, *target);
    return;
  }
  const auto wait = ForecastWait(tracked);
  if (now_ + wait + Times(kLeastPart, TypicalTime(tracked)) > event.deadline) {
    Refuse(tracked, ErrorKind::kDeadlineUnreachable);
    return;
  }
  queue_.insert(KeyOf(tracked));
}

auto PoolDispatcher::On(const PoolRequestCancelled& event) -> void {
  Forget(event.request);
}

auto PoolDispatcher::On(const PoolAttemptCommitted& event) -> void {
  const auto running = attempts_.find(event.attempt);
  if (running == attempts_.end()) {
    return;
  }
  auto& tracked = requests_.at(running->second.request);
  tracked.committed = true;
  const auto others = tracked.running;
  for (const auto attempt : others) {
    if (attempt != event.attempt) {
      pool_.OnEnded(attempts_.at(attempt).target, std::nullopt, now_);
      attempts_.erase(attempt);
      actions_.emplace_back(CancelAttempt{attempt});
    }
  }
  tracked.running = {event.attempt};
}

auto PoolDispatcher::On(const PoolAttemptEnded& event) -> void {
  const auto found = attempts_.find(event.attempt);
  if (found == attempts_.end()) {
    return;
  }
  const auto ended = found->second;
  attempts_.erase(found);
  auto& tracked = requests_.at(ended.request);
  auto& running = tracked.running;
  running.erase(std::remove(running.begin(), running.end(), event.attempt),
                running.end());
  pool_.OnEnded(ended.target, Judge(tracked, event.result), now_);
  if (event.other_instance) {
    pool_.OnReplaced(ended.target);
  } else if (event.result == AttemptResult::kShed) {
    pool_.OnShed(ended.target, now_);
  }
  if (event.result == AttemptResult::kAnswered) {
    times_.Add(tracked.info.work_class, now_ - ended.started);
    Deliver(tracked, event.attempt, false);
    return;
  }
  if (event.result == AttemptResult::kConnectFailed) {
    --tracked.sent;
    ++tracked.connect_failures;
  }
  tracked.may_have_run = tracked.may_have_run || !IsNotRun(event.result);
  if (!running.empty()) {
    // The other attempt may still succeed.
    return;
  }
  if (!tracked.committed && TryAgain(tracked, event.result)) {
    return;
  }
  if (event.result == AttemptResult::kServerError) {
    Deliver(tracked, event.attempt, true);
    return;
  }
  Refuse(tracked, ErrorOf(event.result));
}

auto PoolDispatcher::Judge(const Tracked& tracked, AttemptResult result)
    -> std::optional<Evidence> {
  const bool at_deadline = (result == AttemptResult::kServerError ||
                            result == AttemptResult::kTimeout) &&
                           now_ >= tracked.info.deadline - kDeadlineSlack;
  const bool is_whole_run = at_deadline || result == AttemptResult::kAnswered;
  if (is_whole_run) {
    expiry_.Add(tracked.info.route, at_deadline);
  }
  if (at_deadline && expiry_.IsTooShort(tracked.info.route)) {
    return std::nullopt;
  }
  return EvidenceOf(result);
}

auto PoolDispatcher::TryAgain(Tracked& tracked, AttemptResult result) -> bool {
  const bool may_run_again = tracked.info.repeatable || IsNotRun(result);
  // A request goes to each target once: without another one it would wait in
  // vain until its deadline.
  if (!may_run_again || IsTooLate(tracked) ||
      !pool_.HasUntried(tracked.tried)) {
    return false;
  }
  if (result == AttemptResult::kConnectFailed) {
    if (tracked.connect_failures > kMaxConnectFailures) {
      return false;
    }
  } else if (tracked.sent >= tracked.info.max_attempts ||
             !retries_.Allow(now_)) {
    return false;
  }
  ++counters_.retried;
  queue_.insert(KeyOf(tracked));
  return true;
}

auto PoolDispatcher::On(const PoolPeerReport& event) -> void {
  pool_.OnPeerReport(event.peer, event.outcomes, now_);
  pool_.OnPeerRequests(event.requests, now_);
}

auto PoolDispatcher::On(const PoolResumed& /*event*/) -> void {
  pool_.OnResumed();
}

auto PoolDispatcher::On(const PoolTimer& /*event*/) -> void {
  ordered_wake_.reset();
}

auto PoolDispatcher::RunWaiting() -> void {
  int misses = 0;
  for (auto it = queue_.begin(); it != queue_.end() && misses < kMaxMisses;) {
    auto& tracked = requests_.at(std::get<RequestId>(*it));
    const auto target = pool_.Choose(WishOf(tracked), now_);
    if (!target) {
      ++misses;
      ++it;
      continue;
    }
    it = queue_.erase(it);
    Start(tracked, *target);
  }
}

auto PoolDispatcher::ExpireWaiting() -> void {
  std::vector<RequestId> late;
  for (const auto& [priority, deadline, id] : queue_) {
    if (IsTooLate(requests_.at(id))) {
      late.push_back(id);
    }
  }
  for (const auto id : late) {
    Refuse(requests_.at(id), ErrorKind::kDeadlineUnreachable);
  }
}

auto PoolDispatcher::WatchRunning() -> void {
  std::vector<RequestId> hedged;
  for (auto& [id, running] : attempts_) {
    auto& tracked = requests_.at(running.request);
    const auto typical = TypicalTime(tracked);
    const auto age = now_ - running.started;
    if (!running.overdue &&
        age > std::max(kLeastOverdue, Times(kOverdueFactor, typical))) {
      running.overdue = true;
      if (!expiry_.IsTooShort(tracked.info.route)) {
        pool_.OnOverdue(running.target, now_);
      }
    }
    if (tracked.info.repeatable && !tracked.committed &&
        tracked.running.size() == 1 &&
        age > std::max(kLeastHedge, Times(kHedgeFactor, typical))) {
      hedged.push_back(running.request);
    }
  }
  for (const auto request : hedged) {
    Hedge(requests_.at(request));
  }
}

auto PoolDispatcher::Hedge(Tracked& tracked) -> void {
  const auto key = KeyOf(tracked);
  if (tracked.sent >= tracked.info.max_attempts || queue_.count(key) > 0 ||
      IsTooLate(tracked) || !retries_.HasBudget(now_)) {
    return;
  }
  const auto target = pool_.Choose(WishOf(tracked), now_);
  if (!target || !retries_.Allow(now_)) {
    return;
  }
  ++counters_.hedged;
  Start(tracked, *target);
}

auto PoolDispatcher::Start(Tracked& tracked, const TargetId& target) -> void {
  const AttemptId attempt(++last_attempt_);
  if (tracked.sent == 0 && tracked.connect_failures == 0) {
    retries_.OnFirstAttempt(now_);
  }
  ++tracked.sent;
  tracked.tried.push_back(target);
  tracked.running.push_back(attempt);
  attempts_.emplace(attempt, Running{tracked.info.request, target, now_});
  pool_.OnStarted(target, now_);
  actions_.emplace_back(StartAttempt{tracked.info.request, attempt, target});
}

auto PoolDispatcher::Deliver(const Tracked& tracked,
                             AttemptId attempt,
                             bool is_error) -> void {
  ++counters_.delivered;
  counters_.delivered_errors += is_error ? 1 : 0;
  pool_.OnRequestEnded(!is_error, now_);
  actions_.emplace_back(DeliverAnswer{tracked.info.request, attempt});
  Forget(tracked.info.request);
}

auto PoolDispatcher::Refuse(const Tracked& tracked, ErrorKind error) -> void {
  // Whatever came last, an earlier attempt may have run the request.
  const bool claims_not_run = AnswerFor(error).outcome == Outcome::kNotRun;
  const auto true_error = tracked.may_have_run && claims_not_run
                              ? ErrorKind::kUpstreamReset
                              : error;
  pool_.OnRequestEnded(false, now_);
  if (AnswerFor(true_error).outcome == Outcome::kUnknown) {
    ++counters_.unknown;
  } else {
    ++counters_.refused;
  }
  actions_.emplace_back(
      RefuseRequest{tracked.info.request, true_error,
                    std::max(kLeastRetryAfter, ForecastWait(tracked))});
  Forget(tracked.info.request);
}

auto PoolDispatcher::Forget(RequestId request) -> void {
  const auto found = requests_.find(request);
  if (found == requests_.end()) {
    return;
  }
  queue_.erase(KeyOf(found->second));
  for (const auto attempt : found->second.running) {
    const auto running = attempts_.find(attempt);
    pool_.OnEnded(running->second.target, std::nullopt, now_);
    attempts_.erase(running);
    actions_.emplace_back(CancelAttempt{attempt});
  }
  requests_.erase(found);
}

auto PoolDispatcher::Tell() -> void {
  const auto period =
      std::max(kTellPeriod,
               kTellPeriodPerPeer * static_cast<std::int64_t>(peers_.size()));
  if (!pool_.has_news() || (last_told_ && now_ - *last_told_ < period)) {
    return;
  }
  last_told_ = now_;
  const auto news = pool_.TakeNews(now_);
  const auto requests = pool_.TakeRequestNews();
  if (news.empty() && requests == RequestCounts()) {
    return;
  }
  for (const auto& peer : peers_) {
    actions_.emplace_back(
        SendToPeer{peer, OutcomeReport{service_, news, requests}});
  }
}

auto PoolDispatcher::OrderWake() -> void {
  const bool busy = !queue_.empty() || !attempts_.empty();
  if (!busy && !pool_.has_news()) {
    return;
  }
  const auto wake = now_ + (busy || pool_.has_news() ? kTick : kIdleTick);
  if (ordered_wake_ && *ordered_wake_ <= wake && *ordered_wake_ > now_) {
    return;
  }
  ordered_wake_ = wake;
  actions_.emplace_back(WakePoolAt{wake});
}

auto PoolDispatcher::WishOf(const Tracked& tracked) const -> TargetWish {
  TargetWish wish;
  wish.may_retry = tracked.info.repeatable &&
                   tracked.sent + 1 < tracked.info.max_attempts &&
                   retries_.HasBudget(now_);
  wish.body_bytes = tracked.info.body_bytes;
  wish.tried = &tracked.tried;
  wish.waited_share =
      ToSeconds(now_ - tracked.arrived) /
      std::max(ToSeconds(tracked.info.objective), kLeastObjectiveSeconds);
  return wish;
}

auto PoolDispatcher::TypicalTime(const Tracked& tracked) const -> Duration {
  const auto mean = times_.Mean(tracked.info.work_class);
  return mean > Duration::zero() ? mean
                                 : Times(kAssumedPart, tracked.info.objective);
}

auto PoolDispatcher::ForecastWait(const Tracked& tracked) const -> Duration {
  const auto slots = pool_.UsableSlots(now_);
  if (slots == 0) {
    return tracked.info.objective;
  }
  const auto ahead = static_cast<std::size_t>(
      std::distance(queue_.begin(), queue_.lower_bound(KeyOf(tracked))));
  // The other gateways share the slots.
  const auto share =
      static_cast<double>((ahead + 1) * gateways_) / static_cast<double>(slots);
  return Times(share, TypicalTime(tracked));
}

auto PoolDispatcher::IsTooLate(const Tracked& tracked) const -> bool {
  return tracked.info.deadline - now_ < Times(kLeastPart, TypicalTime(tracked));
}

auto PoolDispatcher::KeyOf(const Tracked& tracked) -> QueueKey {
  return {tracked.info.priority, tracked.info.deadline, tracked.info.request};
}

}  // namespace flamingoyoke
