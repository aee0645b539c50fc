#include "decision/dispatch/service_dispatcher.h"

#include <algorithm>
#include <set>
#include <type_traits>
#include <utility>
#include <variant>

#include "decision/dispatch/wait_estimate.h"

namespace flamingoyoke {
namespace {

// Bound on the total body size in the queue of one service.
constexpr std::uint64_t kMaxQueuedBodyBytes = 64ULL << 20;

// Time after the deadline at which an attempt is cancelled if its timeout was
// not reported.
constexpr Duration kTimeoutReportGrace = std::chrono::milliseconds(50);

// Requests that will get an owned slot within this share of the mean service
// time don't borrow one, because the messages for a loan take time as well.
constexpr double kShortWaitShare = 0.25;

// Returns the error of a request whose only attempt ended with `result`.
auto ErrorOf(AttemptResult result) -> ErrorKind {
  switch (result) {
    case AttemptResult::kShed:
      return ErrorKind::kUpstreamShed;
    case AttemptResult::kConnectFailed:
    case AttemptResult::kNoConnection:
      return ErrorKind::kConnectFailed;
    case AttemptResult::kTimeout:
      return ErrorKind::kUpstreamTimeout;
    case AttemptResult::kPartialAnswer:
      return ErrorKind::kPartialAnswer;
    case AttemptResult::kFalseRefusal:
      return ErrorKind::kFalseRefusal;
    case AttemptResult::kReset:
    case AttemptResult::kCancelled:
      return ErrorKind::kUpstreamReset;
    case AttemptResult::kAnswered:
    case AttemptResult::kServerError:
      break;
  }
  return ErrorKind::kInternal;
}

// Returns whether `result` guarantees that the upstream did not execute the
// request.
auto ProvesNotRun(AttemptResult result) -> bool {
  return result == AttemptResult::kShed ||
         result == AttemptResult::kConnectFailed ||
         result == AttemptResult::kNoConnection;
}

auto IsAnswer(AttemptResult result) -> bool {
  return result == AttemptResult::kAnswered ||
         result == AttemptResult::kServerError;
}

// Returns a random start for loan ids and sequence numbers; 32 bits keep the
// encoded messages short.
auto RandomCounterStart(Random& random) -> std::uint64_t {
  return random.Next() >> 32;
}

template <typename T>
inline constexpr bool kIsDispatchMessage =
    std::is_same_v<T, LoadReport> || std::is_same_v<T, SlotRequest> ||
    std::is_same_v<T, SlotLoan> || std::is_same_v<T, SlotReturn> ||
    std::is_same_v<T, SlotRecall>;

}  // namespace

ServiceDispatcher::ServiceDispatcher(Random random, LongWorkPolicy policy)
    : random_(random),
      policy_(policy),
      lender_(RandomCounterStart(random_)),
      borrower_(RandomCounterStart(random_)) {}

auto ServiceDispatcher::OnEvent(const DispatchEvent& event, TimePoint now)
    -> std::vector<DispatchAction> {
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  if (row_) {
    ExpireLoans();
    ExpireQueued();
    ExpireInFlight();
    for (const auto& [work_class, name] : EnumNames<WorkClass>::kTable) {
      StartQueued(work_class);
    }
    StartHedges();
    LendIdleSlots();
    UpdateBorrowedSlots();
    SendLoadReports();
    ScheduleWake();
  }
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

auto ServiceDispatcher::borrowed_slots() const -> std::size_t {
  return borrower_.slots().size();
}

auto ServiceDispatcher::lent_slots() const -> std::size_t {
  return lender_.loans().size();
}

auto ServiceDispatcher::long_slot_cap() const -> std::uint32_t {
  return LongSlotCap(policy_, CurrentLongWorkState());
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
  const auto own = std::find(event.home.begin(), event.home.end(), event.self);
  is_member_ = own != event.home.end();
  member_index_ =
      is_member_ ? static_cast<std::size_t>(own - event.home.begin()) : 0;
  members_ = std::max<std::size_t>(event.home.size(), 1);
  queue_.SetLimits(event.row.queue_limit, kMaxQueuedBodyBytes);
  team_limiter_.Configure(event.row.team_rate, event.row.team_burst);
  retry_budget_.Configure(event.row.retry_share);
  std::set<TargetId> targets;
  for (const auto& target : event.row.targets) {
    targets.insert(target.id);
  }
  for (auto& returned :
       borrower_.Configure(event.row.service, peers_, std::move(targets))) {
    actions_.emplace_back(std::move(returned));
  }
  slots_.Configure(event.row, event.owned);
  RecallFromUnusableTargets();
}

auto ServiceDispatcher::WouldMissDeadline(const RequestArrived& event) const
    -> bool {
  if (slots_.Idle() > 0 && queue_.size(event.work_class) == 0) {
    return false;
  }
  const auto ahead =
      queue_.CountBefore(event.work_class, event.deadline, queue_.size());
  const auto long_slots = slots_.InUse(WorkClass::kLong);
  const auto usable = slots_.Usable();
  const auto slots = event.work_class == WorkClass::kLong
                         ? long_slot_cap()
                         : usable - std::min(usable, long_slots);
  const auto borrowed = static_cast<std::uint32_t>(borrowed_slots());
  const auto wait = EstimateQueueWait(service_times_, event.work_class, ahead,
                                      slots + borrowed);
  const auto service =
      service_times_.Quantile(event.work_class, kAdmissionQuantile);
  return now_ + wait + service > event.deadline;
}

auto ServiceDispatcher::FindRejection(const RequestArrived& event)
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
  if (WouldMissDeadline(event)) {
    return ErrorKind::kDeadlineUnreachable;
  }
  // Checked last, so that a request rejected for another reason doesn't consume
  // a token of its team.
  if (!team_limiter_.Allow(event.team, now_)) {
    return ErrorKind::kTeamLimit;
  }
  return std::nullopt;
}

auto ServiceDispatcher::On(const RequestArrived& event) -> void {
  auto& demand =
      event.work_class == WorkClass::kLong ? long_demand_ : short_demand_;
  demand.Add(service_times_.Mean(event.work_class), now_);
  if (const auto rejection = FindRejection(event)) {
    ++counters_.rejected;
    actions_.emplace_back(FailRequest{event.request, *rejection});
    return;
  }
  Enqueue(tracker_.AddRequest({.request = event.request,
                               .work_class = event.work_class,
                               .repeatable = event.repeatable,
                               .deadline = event.deadline,
                               .body_bytes = event.body_bytes}));
}

auto ServiceDispatcher::On(const RequestCancelled& event) -> void {
  const auto* request = tracker_.FindRequest(event.request);
  if (request == nullptr) {
    return;
  }
  queue_.Remove(event.request);
  CancelAttempts(*request, AttemptId());
  tracker_.EraseRequest(event.request);
}

auto ServiceDispatcher::On(const AttemptResponseStarted& event) -> void {
  const auto* attempt = tracker_.FindAttempt(event.attempt);
  auto* request =
      attempt == nullptr ? nullptr : tracker_.FindRequest(attempt->request);
  if (request == nullptr || attempt->cancelled) {
    return;
  }
  request->response_started = true;
  queue_.Remove(request->request);
  CancelAttempts(*request, event.attempt);
}

auto ServiceDispatcher::On(const AttemptFinished& event) -> void {
  const auto attempt = tracker_.RemoveAttempt(event.attempt);
  if (!attempt) {
    return;
  }
  ReleaseSlot(*attempt, event.result);
  auto* request = tracker_.FindRequest(attempt->request);
  if (request == nullptr || attempt->cancelled) {
    return;
  }
  if (!IsAnswer(event.result)) {
    OnAttemptFailed(*attempt, event);
    return;
  }
  ++counters_.answered;
  queue_.Remove(request->request);
  CancelAttempts(*request, event.attempt);
  tracker_.EraseRequest(attempt->request);
}

auto ServiceDispatcher::ReleaseSlot(const TrackedAttempt& attempt,
                                    AttemptResult result) -> void {
  if (IsAnswer(result) || result == AttemptResult::kTimeout) {
    service_times_.Add(attempt.work_class, now_ - attempt.started);
  }
  if (!attempt.loan) {
    slots_.Release(attempt.target, attempt.work_class);
    slots_.OnResult(attempt.target, result, now_);
    reporter_.OnResult(result);
    return;
  }
  if (auto send =
          borrower_.OnAttemptFinished(*attempt.loan, attempt.target, result)) {
    actions_.emplace_back(std::move(*send));
  }
}

auto ServiceDispatcher::OnAttemptFailed(const TrackedAttempt& attempt,
                                        const AttemptFinished& event) -> void {
  const auto result = event.result;
  auto* request = tracker_.FindRequest(attempt.request);
  request->avoided_target = attempt.target;
  if (!ProvesNotRun(result)) {
    request->unknown_outcome_error = ErrorOf(result);
  }
  if (!request->in_flight.empty()) {
    return;
  }
  const bool may_run_again =
      !request->unknown_outcome_error || request->repeatable;
  if (request->response_started || !may_run_again || row_->targets.empty() ||
      request->deadline <= now_ ||
      (!event.withdrawn && !retry_budget_.Allow(now_))) {
    Fail(attempt.request, ErrorOf(result));
    return;
  }
  ++counters_.retried;
  Enqueue(*request);
}

auto ServiceDispatcher::On(const TargetShareChanged& event) -> void {
  slots_.SetShare(event.target, event.share);
  RecallFromUnusableTargets();
}

auto ServiceDispatcher::On(const DispatchPeerMessage& event) -> void {
  std::visit(
      [&](const auto& message) {
        using Message = std::decay_t<decltype(message)>;
        if constexpr (kIsDispatchMessage<Message>) {
          if (row_ && message.service == row_->service) {
            OnPeerMessage(event.sender, message);
          }
        }
      },
      event.message);
}

auto ServiceDispatcher::OnPeerMessage(const VmId& sender,
                                      const LoadReport& message) -> void {
  borrower_.OnLoadReport(sender, message, now_);
}

auto ServiceDispatcher::OnPeerMessage(const VmId& sender,
                                      const SlotRequest& message) -> void {
  for (auto& renewal : lender_.OnRequest(sender, message, now_)) {
    actions_.emplace_back(SendToPeer{sender, std::move(renewal)});
  }
  for (const auto loan : message.renewed) {
    if (lender_.IsRecalled(loan)) {
      SendRecall(sender, loan);
    }
  }
}

auto ServiceDispatcher::OnPeerMessage(const VmId& sender,
                                      const SlotLoan& message) -> void {
  if (auto rejection = borrower_.OnLoan(sender, message, now_)) {
    actions_.emplace_back(std::move(*rejection));
  }
}

auto ServiceDispatcher::OnPeerMessage(const VmId& sender,
                                      const SlotReturn& message) -> void {
  if (const auto loan = lender_.OnReturn(sender, message.loan)) {
    slots_.Release(loan->target, loan->work_class);
  }
}

auto ServiceDispatcher::OnPeerMessage(const VmId& sender,
                                      const SlotRecall& message) -> void {
  if (auto returned = borrower_.OnRecall(sender, message)) {
    actions_.emplace_back(std::move(*returned));
  }
}

auto ServiceDispatcher::On(const DispatchPeerLost& event) -> void {
  lender_.OnPeerLost(event.peer);
  borrower_.OnLenderLost(event.peer);
}

auto ServiceDispatcher::On(const DispatchResumed& /*event*/) -> void {
  borrower_.Reset();
}

auto ServiceDispatcher::On(const DispatchTimer& /*event*/) -> void {
  scheduled_wake_.reset();
}

auto ServiceDispatcher::Enqueue(const TrackedRequest& request) -> void {
  queue_.Push({.request = request.request,
               .work_class = request.work_class,
               .deadline = request.deadline,
               .body_bytes = request.body_bytes});
}

auto ServiceDispatcher::Fail(RequestId request, ErrorKind error) -> void {
  const auto* tracked = tracker_.FindRequest(request);
  if (tracked == nullptr) {
    return;
  }
  if (tracked->unknown_outcome_error) {
    ++counters_.unknown;
  } else if (tracked->attempts == 0) {
    ++counters_.rejected;
  }
  queue_.Remove(request);
  CancelAttempts(*tracked, AttemptId());
  actions_.emplace_back(
      FailRequest{request, tracked->unknown_outcome_error.value_or(error)});
  tracker_.EraseRequest(request);
}

auto ServiceDispatcher::CancelAttempts(const TrackedRequest& request,
                                       AttemptId excluded) -> void {
  for (const auto id : request.in_flight) {
    auto* attempt = tracker_.FindAttempt(id);
    if (id == excluded || attempt == nullptr || attempt->cancelled) {
      continue;
    }
    attempt->cancelled = true;
    actions_.emplace_back(CancelAttempt{id});
  }
}

auto ServiceDispatcher::ExpireQueued() -> void {
  for (const auto& [work_class, name] : EnumNames<WorkClass>::kTable) {
    for (auto front = queue_.Front(work_class);
         front && front->deadline <= now_; front = queue_.Front(work_class)) {
      Fail(front->request, ErrorKind::kDeadlinePassed);
    }
  }
}

auto ServiceDispatcher::ExpireInFlight() -> void {
  std::vector<RequestId> overdue;
  for (const auto& [id, attempt] : tracker_.attempts()) {
    const auto* request = tracker_.FindRequest(attempt.request);
    if (request != nullptr && !request->response_started &&
        request->deadline + kTimeoutReportGrace <= now_) {
      overdue.push_back(request->request);
    }
  }
  // Sorted, so that the actions don't depend on hash order.
  std::sort(overdue.begin(), overdue.end());
  for (const auto request : overdue) {
    if (auto* tracked = tracker_.FindRequest(request)) {
      tracked->unknown_outcome_error = ErrorKind::kUpstreamTimeout;
      Fail(request, ErrorKind::kUpstreamTimeout);
    }
  }
}

auto ServiceDispatcher::ExpireLoans() -> void {
  for (const auto& loan : lender_.Expire(now_)) {
    slots_.Release(loan.target, loan.work_class);
  }
  AppendMessages(borrower_.Expire(now_));
}

auto ServiceDispatcher::HasTooLittleTime(const QueuedRequest& queued) const
    -> bool {
  // While other requests wait, the slot is better used for one that will most
  // likely meet its deadline; a sole request only has to fit with the mean
  // service time.
  const auto needed =
      queue_.size(queued.work_class) > 1
          ? service_times_.Quantile(queued.work_class, kAdmissionQuantile)
          : service_times_.Mean(queued.work_class);
  return now_ + needed > queued.deadline;
}

auto ServiceDispatcher::StartQueued(WorkClass work_class) -> void {
  for (auto front = queue_.Front(work_class); front;
       front = queue_.Front(work_class)) {
    if (HasTooLittleTime(*front)) {
      Fail(front->request, ErrorKind::kDeadlineUnreachable);
      continue;
    }
    if (!StartOnAnySlot(*tracker_.FindRequest(front->request))) {
      return;
    }
  }
}

auto ServiceDispatcher::StartOnAnySlot(const TrackedRequest& request) -> bool {
  if (const auto target =
          PickOwnedTarget(request.work_class, request.avoided_target)) {
    Start(request, *target, std::nullopt);
    return true;
  }
  const auto loan =
      borrower_.FindIdleSlot(request.work_class, request.avoided_target);
  if (!loan) {
    return false;
  }
  Start(request, borrower_.TargetOf(*loan), loan);
  return true;
}

auto ServiceDispatcher::Start(const TrackedRequest& request,
                              const TargetId& target,
                              const std::optional<LoanKey>& loan) -> void {
  queue_.Remove(request.request);
  if (loan) {
    borrower_.MarkBusy(*loan);
    ++counters_.borrowed;
  } else {
    slots_.Acquire(target, request.work_class);
  }
  if (request.attempts == 0) {
    retry_budget_.OnFirstAttempt(now_);
  }
  const AttemptId id(++last_attempt_);
  actions_.emplace_back(StartAttempt{request.request, id, target});
  tracker_.AddAttempt({.attempt = id,
                       .request = request.request,
                       .target = target,
                       .loan = loan,
                       .work_class = request.work_class,
                       .started = now_});
}

auto ServiceDispatcher::StartHedges() -> void {
  if (row_->hedge_delay <= Duration::zero() || !queue_.empty()) {
    return;
  }
  std::vector<AttemptId> slow;
  for (const auto& [id, attempt] : tracker_.attempts()) {
    const auto* request = tracker_.FindRequest(attempt.request);
    if (request != nullptr && request->repeatable &&
        !request->response_started && request->attempts == 1 &&
        attempt.started + row_->hedge_delay <= now_) {
      slow.push_back(id);
    }
  }
  std::sort(slow.begin(), slow.end());
  for (const auto id : slow) {
    const auto& attempt = *tracker_.FindAttempt(id);
    const auto* request = tracker_.FindRequest(attempt.request);
    const auto target = PickOwnedTarget(attempt.work_class, attempt.target);
    if (!target || *target == attempt.target || !retry_budget_.Allow(now_)) {
      return;
    }
    ++counters_.retried;
    ++counters_.hedged;
    Start(*request, *target, std::nullopt);
  }
}

auto ServiceDispatcher::PickOwnedTarget(WorkClass work_class,
                                        const TargetId& avoided_target)
    -> std::optional<TargetId> {
  const auto state = CurrentLongWorkState();
  if (work_class == WorkClass::kLong && !CanStartLong(policy_, state)) {
    return std::nullopt;
  }
  return slots_.Pick(avoided_target, PickRangeFor(policy_, state, work_class),
                     random_);
}

auto ServiceDispatcher::LendIdleSlots() -> void {
  for (const auto& [work_class, name] : EnumNames<WorkClass>::kTable) {
    GrantLoans(work_class);
  }
  if (queue_.empty()) {
    return;
  }
  for (const auto& loan : lender_.Recall(queue_.size(), now_)) {
    SendRecall(loan.borrower, loan.loan);
  }
}

auto ServiceDispatcher::RecallFromUnusableTargets() -> void {
  std::set<TargetId> unusable;
  for (const auto& [id, loan] : lender_.loans()) {
    if (slots_.Usable(loan.target) == 0) {
      unusable.insert(loan.target);
    }
  }
  for (const auto& target : unusable) {
    for (const auto& loan : lender_.RecallTarget(target)) {
      SendRecall(loan.borrower, loan.loan);
    }
  }
}

auto ServiceDispatcher::SendRecall(const VmId& borrower, LoanId loan) -> void {
  actions_.emplace_back(SendToPeer{borrower, SlotRecall{loan, row_->service}});
}

auto ServiceDispatcher::GrantLoans(WorkClass work_class) -> void {
  for (auto request = lender_.OldestRequest(work_class);
       request && queue_.size(work_class) == 0;
       request = lender_.OldestRequest(work_class)) {
    const auto target = PickOwnedTarget(work_class, TargetId());
    if (!target) {
      return;
    }
    slots_.Acquire(*target, work_class);
    ++counters_.lent;
    actions_.emplace_back(
        SendToPeer{request->borrower,
                   lender_.Grant(*request, *target, row_->service, now_)});
  }
}

auto ServiceDispatcher::UpdateBorrowedSlots() -> void {
  for (const auto& [work_class, name] : EnumNames<WorkClass>::kTable) {
    if (queue_.size(work_class) == 0) {
      AppendMessages(borrower_.ReturnIdleSlots(work_class));
    }
    AppendMessages(borrower_.RequestSlots(
        work_class, CountSlotsToBorrow(work_class), random_, now_));
  }
  AppendMessages(borrower_.RenewExpiring(now_));
}

auto ServiceDispatcher::CountSlotsToBorrow(WorkClass work_class) const
    -> std::size_t {
  const auto waiting = queue_.size(work_class);
  const auto usable = slots_.Usable();
  const auto serving_slots =
      work_class == WorkClass::kLong
          ? long_slot_cap()
          : usable - std::min(usable, slots_.InUse(WorkClass::kLong));
  const auto served_soon = static_cast<std::size_t>(
      kShortWaitShare * static_cast<double>(serving_slots));
  return waiting - std::min(waiting, served_soon);
}

auto ServiceDispatcher::SendLoadReports() -> void {
  if (!is_member_ || !reporter_.IsDue(ReportableIdleSlots(), IsBusy(), now_)) {
    return;
  }
  auto report = reporter_.TakeReport(row_->service,
                                     static_cast<std::uint32_t>(queue_.size()),
                                     ReportableIdleSlots(), IsBusy(), now_);
  report.median_latency = service_times_.Quantile(WorkClass::kShort, 0.5);
  report.p95_latency = service_times_.Quantile(WorkClass::kShort, 0.95);
  for (const auto& peer : peers_) {
    actions_.emplace_back(SendToPeer{peer, report});
  }
}

auto ServiceDispatcher::CurrentLongWorkState() const -> LongWorkState {
  return {.usable = slots_.Usable(),
          .idle = slots_.Idle(),
          .long_in_use = slots_.InUse(WorkClass::kLong),
          .targets = slots_.UsableTargets(),
          .short_demand = short_demand_.Slots(now_),
          .long_demand = long_demand_.Slots(now_),
          .members = members_,
          .member_index = member_index_,
          .max_share = row_ ? row_->long_share : 1};
}

auto ServiceDispatcher::ReportableIdleSlots() const -> std::uint32_t {
  return queue_.size(WorkClass::kShort) > 0 ? 0 : slots_.Idle();
}

auto ServiceDispatcher::IsBusy() const -> bool {
  return !queue_.empty() || slots_.InUse() > 0;
}

auto ServiceDispatcher::AppendMessages(const std::vector<SendToPeer>& sends)
    -> void {
  actions_.insert(actions_.end(), sends.begin(), sends.end());
}

auto ServiceDispatcher::ScheduleWake() -> void {
  std::optional<TimePoint> next;
  const auto consider = [&next](std::optional<TimePoint> at) {
    if (at && (!next || *at < *next)) {
      next = at;
    }
  };
  consider(queue_.EarliestDeadline());
  consider(lender_.NextExpiry());
  consider(borrower_.NextWake());
  if (is_member_ && !peers_.empty()) {
    consider(reporter_.NextWake(ReportableIdleSlots(), IsBusy()));
  }
  for (const auto& [id, attempt] : tracker_.attempts()) {
    const auto* request = tracker_.FindRequest(attempt.request);
    if (request == nullptr || request->response_started) {
      continue;
    }
    consider(request->deadline + kTimeoutReportGrace);
    const auto hedge_at = attempt.started + row_->hedge_delay;
    if (row_->hedge_delay > Duration::zero() && hedge_at > now_) {
      consider(hedge_at);
    }
  }
  if (next) {
    // At least one clock step ahead, so that something already due doesn't
    // cause a loop of wake-ups.
    next = std::max(*next, now_ + Duration(1));
  }
  // An early wake-up is harmless, and keeping it avoids setting the timer after
  // each event.
  if (next && (!scheduled_wake_ || *next < *scheduled_wake_)) {
    scheduled_wake_ = next;
    actions_.emplace_back(WakeDispatcherAt{*next});
  }
}

}  // namespace flamingoyoke
