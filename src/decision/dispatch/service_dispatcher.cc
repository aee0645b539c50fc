#include "decision/dispatch/service_dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace flamingoyoke {
namespace {

// Bound on the bodies that wait in the queue of one service.
constexpr std::uint64_t kQueueBytes = 64ULL << 20;

// How long after its deadline an unfinished attempt is cancelled if its
// timeout was not reported.
constexpr Duration kTimeoutGrace = std::chrono::milliseconds(50);

// Returns the error of a request whose only attempt ended with `result`.
auto ErrorOf(AttemptResult result) -> ErrorKind {
  switch (result) {
    case AttemptResult::kShed:
      return ErrorKind::kUpstreamShed;
    case AttemptResult::kConnectFailed:
      return ErrorKind::kConnectFailed;
    case AttemptResult::kTimeout:
      return ErrorKind::kUpstreamTimeout;
    case AttemptResult::kPartialAnswer:
      return ErrorKind::kPartialAnswer;
    case AttemptResult::kReset:
    case AttemptResult::kCancelled:
      return ErrorKind::kUpstreamReset;
    case AttemptResult::kAnswered:
    case AttemptResult::kServerError:
      break;
  }
  return ErrorKind::kInternal;
}

// Returns whether `result` proves that the upstream did not run the request.
auto ProvesNotRun(AttemptResult result) -> bool {
  return result == AttemptResult::kShed ||
         result == AttemptResult::kConnectFailed;
}

auto IsAnswer(AttemptResult result) -> bool {
  return result == AttemptResult::kAnswered ||
         result == AttemptResult::kServerError;
}

}  // namespace

ServiceDispatcher::ServiceDispatcher(Random random) : random_(random) {}

auto ServiceDispatcher::OnEvent(const DispatchEvent& event, TimePoint now)
    -> std::vector<DispatchAction> {
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  ExpireDeadlines();
  StartAttempts();
  OrderWake();
  return std::exchange(actions_, {});
}

auto ServiceDispatcher::slots_in_use() const -> std::uint32_t {
  return slots_.InUse();
}

auto ServiceDispatcher::slots() const -> std::uint32_t {
  return slots_.Usable();
}

auto ServiceDispatcher::queue_length() const -> std::size_t {
  return queue_.size();
}

auto ServiceDispatcher::On(const DispatchConfigured& event) -> void {
  row_ = event.row;
  self_ = event.self;
  peers_.clear();
  for (const auto& vm : event.home) {
    if (vm != event.self) {
      peers_.push_back(vm);
    }
  }
  queue_.SetLimits(event.row.queue_limit, kQueueBytes);
  slots_.Configure(event.row, event.owned);
}

auto ServiceDispatcher::RefusalOf(const RequestArrived& event) const
    -> std::optional<ErrorKind> {
  if (!row_) {
    return ErrorKind::kNotReady;
  }
  if (row_->targets.empty() || (slots_.Usable() == 0 && peers_.empty())) {
    return ErrorKind::kNoTarget;
  }
  if (event.deadline <= now_) {
    return ErrorKind::kDeadlinePassed;
  }
  if (!queue_.HasRoom(event.body_bytes)) {
    return ErrorKind::kQueueFull;
  }
  return std::nullopt;
}

auto ServiceDispatcher::On(const RequestArrived& event) -> void {
  if (const auto refusal = RefusalOf(event)) {
    ++counters_.rejected;
    actions_.emplace_back(FailRequest{event.request, *refusal});
    return;
  }
  Enqueue(book_.AddRequest({.request = event.request,
                            .work_class = event.work_class,
                            .repeatable = event.repeatable,
                            .deadline = event.deadline,
                            .body_bytes = event.body_bytes}));
}

auto ServiceDispatcher::On(const RequestCancelled& event) -> void {
  const auto* request = book_.FindRequest(event.request);
  if (request == nullptr) {
    return;
  }
  queue_.Remove(event.request);
  CancelAttempts(*request, AttemptId());
  book_.EraseRequest(event.request);
}

auto ServiceDispatcher::On(const AttemptAnswering& event) -> void {
  const auto* attempt = book_.FindAttempt(event.attempt);
  auto* request =
      attempt == nullptr ? nullptr : book_.FindRequest(attempt->request);
  if (request == nullptr || attempt->cancelled) {
    return;
  }
  request->answering = true;
  queue_.Remove(request->request);
  CancelAttempts(*request, event.attempt);
}

auto ServiceDispatcher::On(const AttemptFinished& event) -> void {
  const auto attempt = book_.TakeAttempt(event.attempt);
  if (!attempt) {
    return;
  }
  slots_.Free(attempt->target, attempt->work_class);
  slots_.OnResult(attempt->target, event.result, now_);
  auto* request = book_.FindRequest(attempt->request);
  if (request == nullptr || attempt->cancelled) {
    return;
  }
  if (!IsAnswer(event.result)) {
    OnAttemptFailed(*attempt, event.result);
    return;
  }
  ++counters_.answered;
  queue_.Remove(request->request);
  CancelAttempts(*request, event.attempt);
  book_.EraseRequest(attempt->request);
}

auto ServiceDispatcher::OnAttemptFailed(const TrackedAttempt& attempt,
                                        AttemptResult result) -> void {
  auto* request = book_.FindRequest(attempt.request);
  request->avoid = attempt.target;
  if (!ProvesNotRun(result)) {
    request->unknown_error = ErrorOf(result);
  }
  if (!request->in_flight.empty()) {
    return;
  }
  const bool may_run_again = ProvesNotRun(result) || request->repeatable;
  if (request->answering || !may_run_again || request->deadline <= now_) {
    Fail(attempt.request, ErrorOf(result));
    return;
  }
  Enqueue(*request);
}

auto ServiceDispatcher::On(const TargetShareChanged& event) -> void {
  slots_.SetShare(event.target, event.share);
}

auto ServiceDispatcher::On(const DispatchPeerMessage& /*event*/) -> void {}

auto ServiceDispatcher::On(const DispatchPeerLost& /*event*/) -> void {}

auto ServiceDispatcher::On(const DispatchResumed& /*event*/) -> void {}

auto ServiceDispatcher::On(const DispatchTimer& /*event*/) -> void {
  ordered_wake_.reset();
}

auto ServiceDispatcher::Enqueue(const TrackedRequest& request) -> void {
  queue_.Push({.request = request.request,
               .work_class = request.work_class,
               .deadline = request.deadline,
               .body_bytes = request.body_bytes});
}

auto ServiceDispatcher::Fail(RequestId request, ErrorKind error) -> void {
  const auto* open = book_.FindRequest(request);
  if (open == nullptr) {
    return;
  }
  if (open->unknown_error) {
    ++counters_.unknown;
  } else if (open->attempts == 0) {
    ++counters_.rejected;
  }
  queue_.Remove(request);
  CancelAttempts(*open, AttemptId());
  actions_.emplace_back(
      FailRequest{request, open->unknown_error.value_or(error)});
  book_.EraseRequest(request);
}

auto ServiceDispatcher::CancelAttempts(const TrackedRequest& request,
                                       AttemptId kept) -> void {
  for (const auto id : request.in_flight) {
    auto* attempt = book_.FindAttempt(id);
    if (id == kept || attempt == nullptr || attempt->cancelled) {
      continue;
    }
    attempt->cancelled = true;
    actions_.emplace_back(CancelAttempt{id});
  }
}

auto ServiceDispatcher::ExpireDeadlines() -> void {
  for (auto earliest = queue_.EarliestDeadline(); earliest && *earliest <= now_;
       earliest = queue_.EarliestDeadline()) {
    for (const auto& [work_class, name] : EnumNames<WorkClass>::kTable) {
      const auto front = queue_.Front(work_class);
      if (front && front->deadline <= now_) {
        Fail(front->request, ErrorKind::kDeadlinePassed);
      }
    }
  }
  std::vector<RequestId> overdue;
  for (const auto& [id, attempt] : book_.attempts()) {
    auto* request = book_.FindRequest(attempt.request);
    if (request != nullptr && !request->answering &&
        request->deadline + kTimeoutGrace <= now_) {
      overdue.push_back(request->request);
    }
  }
  std::sort(overdue.begin(), overdue.end());
  for (const auto request : overdue) {
    if (auto* open = book_.FindRequest(request)) {
      open->unknown_error = ErrorKind::kUpstreamTimeout;
      Fail(request, ErrorKind::kUpstreamTimeout);
    }
  }
}

auto ServiceDispatcher::StartAttempts() -> void {
  for (auto front = queue_.Front(WorkClass::kShort); front;
       front = queue_.Front(WorkClass::kShort)) {
    const auto& avoid = book_.FindRequest(front->request)->avoid;
    const auto target = slots_.Pick(avoid, random_);
    if (!target) {
      return;
    }
    Start(*front, *target);
  }
  for (auto front = queue_.Front(WorkClass::kLong); front;
       front = queue_.Front(WorkClass::kLong)) {
    const auto& avoid = book_.FindRequest(front->request)->avoid;
    const auto target = slots_.Pick(avoid, random_);
    if (!target) {
      return;
    }
    Start(*front, *target);
  }
}

auto ServiceDispatcher::Start(const QueuedRequest& queued,
                              const TargetId& target) -> void {
  queue_.Remove(queued.request);
  slots_.Take(target, queued.work_class);
  const AttemptId id(++last_attempt_);
  book_.AddAttempt({.attempt = id,
                    .request = queued.request,
                    .target = target,
                    .work_class = queued.work_class,
                    .started = now_});
  if (book_.FindRequest(queued.request)->attempts > 1) {
    ++counters_.retried;
  }
  actions_.emplace_back(StartAttempt{queued.request, id, target});
}

auto ServiceDispatcher::OrderWake() -> void {
  auto next = queue_.EarliestDeadline();
  for (const auto& [id, attempt] : book_.attempts()) {
    const auto* request = book_.FindRequest(attempt.request);
    if (request == nullptr || request->answering) {
      continue;
    }
    const auto at = request->deadline + kTimeoutGrace;
    if (!next || at < *next) {
      next = at;
    }
  }
  if (next && next != ordered_wake_) {
    ordered_wake_ = next;
    actions_.emplace_back(WakeDispatcherAt{*next});
  }
}

}  // namespace flamingoyoke
