#include "node/traffic/service_runner.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "core/overloaded.h"
#include "node/traffic/caller_headers.h"
#include "node/traffic/error_response.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

constexpr auto* kProbePath = "/healthz";
constexpr int kOk = 200;
constexpr int kMultipleChoices = 300;
// Minimum time that an attempt gets, because the deadline header has a
// resolution of one millisecond.
constexpr Duration kMinAttemptTimeout = std::chrono::milliseconds(1);

// Minimum time after its last drain signal before a target counts as no longer
// draining, once its health endpoint stops reporting the drain. The endpoint
// may lag, and a target that shuts down has exited by then.
constexpr Duration kDrainHoldTime = std::chrono::seconds(60);

}  // namespace

auto ServicePlacement::operator==(const ServicePlacement& other) const -> bool {
  return row == other.row && owned == other.owned &&
         std::equal(
             home.begin(), home.end(), other.home.begin(), other.home.end(),
             [](const HomeMember& a, const HomeMember& b) {
               return a.id == b.id && a.failure_domain == b.failure_domain;
             });
}

ServiceRunner::ServiceRunner(EventLoop& loop,
                             const TrafficConfig& config,
                             AnswerMemory& memory,
                             ConnectionPart& connections,
                             Random random,
                             Hooks hooks)
    : loop_(loop),
      config_(config),
      hooks_(std::move(hooks)),
      random_(random),
      dispatcher_(Random(random_.Next())),
      detector_(Random(random_.Next())),
      pool_(loop, NativeUpstreamInterface(), memory, connections),
      dispatcher_timer_(
          loop.MakePromptTimer([this] { Post(DispatchTimer{}); })),
      // Not prompt: answers that wait on a busy loop are evidence that the
      // detector must have before it finds a target overdue.
      detector_timer_(loop.MakeTimer([this] { Post(DetectionTimer{}); })) {}

auto ServiceRunner::Configure(const ServicePlacement& placement) -> void {
  if (placement == placement_) {
    return;
  }
  placement_ = placement;
  pool_.Configure(placement_.row);
  std::vector<VmId> home;
  for (const auto& member : placement_.home) {
    home.push_back(member.id);
  }
  dispatcher_owned_ = placement_.owned;
  Post(DispatchConfigured{placement_.row, config_.vm, std::move(home),
                          placement_.owned});
  Post(DetectionConfigured{placement_.row, config_.vm, placement_.home,
                           placement_.owned});
  std::unordered_set<TargetId> listed;
  for (const auto& target : placement_.row.targets) {
    listed.insert(target.id);
  }
  WithdrawUnsent(
      [&](const TargetId& target) { return listed.contains(target); });
  SyncOwnedTargets();
}

auto ServiceRunner::SyncOwnedTargets() -> void {
  auto owned = detector_.OwnedTargets();
  if (processing_ || owned == dispatcher_owned_) {
    return;
  }
  dispatcher_owned_ = std::move(owned);
  std::vector<VmId> home;
  for (const auto& member : placement_.home) {
    home.push_back(member.id);
  }
  Post(DispatchConfigured{placement_.row, config_.vm, std::move(home),
                          dispatcher_owned_});
}

auto ServiceRunner::Submit(ServiceRequest request) -> void {
  const auto id = request.id;
  request.exchange->set_on_disconnect([this, id] { OnCallerDisconnected(id); });
  request.exchange->set_on_drained([this, id] { OnOutputDrained(id); });
  const RequestArrived arrived{
      .request = id,
      .team = request.team,
      .work_class = request.work_class,
      .repeatable = request.repeatable,
      .deadline = request.deadline,
      .body_bytes = evbuffer_get_length(request.exchange->body()),
  };
  requests_.emplace(id, std::move(request));
  Post(arrived);
}

auto ServiceRunner::OnPeerMessage(const VmId& sender,
                                  const PeerMessage& message) -> void {
  const auto to_dispatcher = [&] {
    Post(DispatchPeerMessage{sender, message});
  };
  const auto to_detector = [&] { Post(DetectionPeerMessage{sender, message}); };
  std::visit(Overloaded{
                 [&](const LoadReport&) { to_dispatcher(), to_detector(); },
                 [&](const SlotReturn&) { to_dispatcher(), to_detector(); },
                 [&](const SlotRequest&) { to_dispatcher(); },
                 [&](const SlotLoan&) { to_dispatcher(); },
                 [&](const SlotRecall&) { to_dispatcher(); },
                 [&](const OutcomeReport&) { to_detector(); },
                 [&](const EjectionNotice&) { to_detector(); },
                 [&](const EjectionPermitRequest&) { to_detector(); },
                 [&](const EjectionPermit&) { to_detector(); },
                 [&](const VerifyRequest&) { to_detector(); },
                 [&](const VerifyAnswer&) { to_detector(); },
                 [](const auto&) {},
             },
             message);
}

auto ServiceRunner::OnPeerLost(const VmId& peer) -> void {
  Post(DispatchPeerLost{peer});
  Post(DetectionPeerLost{peer});
}

auto ServiceRunner::OnResumed() -> void {
  // Inserted before queued events, which may have been created before the
  // pause.
  last_drain_signals_.clear();
  events_.emplace_front(DispatchEvent(DispatchResumed{}));
  events_.emplace_front(DetectionEvent(DetectionResumed{}));
  ProcessEvents();
}

auto ServiceRunner::FailAll() -> void {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    const auto error = MayHaveRun(id) ? ErrorKind::kHardStopInFlight
                                      : ErrorKind::kHardStopQueued;
    FinishWithError(id, error);
    Post(RequestCancelled{id});
  }
}

auto ServiceRunner::Report(Revision revision) const -> ServiceReport {
  const auto& counters = dispatcher_.counters();
  ServiceReport report{
      .service = placement_.row.service,
      .revision = revision,
      .healthy_share = detector_.HealthyShare(),
      .floor = placement_.row.floor,
      .targets = {},
      .slots_in_use = dispatcher_.slots_in_use(),
      .slots = dispatcher_.slots(),
      .queue_length = static_cast<std::uint32_t>(dispatcher_.queue_length()),
      .answered = counters.answered,
      .rejected = counters.rejected,
      .retried = counters.retried,
      .unknown = counters.unknown,
  };
  const auto now = Now();
  const auto wall = WallClockMs();
  for (const auto& status : detector_.Statuses()) {
    report.targets.push_back({status.target, status.state, status.reason,
                              wall - ToMilliseconds(now - status.since)});
  }
  return report;
}

auto ServiceRunner::Post(Event event) -> void {
  if (hooks_.check_pause) {
    hooks_.check_pause();
  }
  events_.push_back(std::move(event));
  ProcessEvents();
}

auto ServiceRunner::ProcessEvents() -> void {
  if (processing_) {
    return;
  }
  processing_ = true;
  while (!events_.empty()) {
    const auto next = std::move(events_.front());
    events_.pop_front();
    std::visit([this](const auto& taken) { Process(taken); }, next);
  }
  processing_ = false;
}

auto ServiceRunner::Process(const DispatchEvent& event) -> void {
  for (const auto& action : dispatcher_.OnEvent(event, Now())) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  }
}

auto ServiceRunner::Process(const DetectionEvent& event) -> void {
  for (const auto& action : detector_.OnEvent(event, Now())) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  }
}

auto ServiceRunner::Execute(const StartAttempt& action) -> void {
  const auto request = requests_.find(action.request);
  if (request == requests_.end()) {
    Post(AttemptFinished{action.attempt, AttemptResult::kCancelled});
    return;
  }
  auto lease = pool_.Acquire(action.target, false);
  if (!lease.connection) {
    Post(AttemptFinished{action.attempt, lease.is_part_used_up
                                             ? AttemptResult::kNoConnection
                                             : AttemptResult::kConnectFailed});
    return;
  }
  const auto now = Now();
  if (!request->second.started) {
    request->second.started = now;
  }
  auto& attempt =
      attempts_
          .emplace(action.attempt,
                   Attempt{action.request, std::move(lease), now,
                           StartSpan(request->second.trace, random_)})
          .first->second;
  SendAttempt(action.attempt, attempt, request->second);
}

auto ServiceRunner::SendAttempt(AttemptId id,
                                Attempt& attempt,
                                ServiceRequest& request) -> void {
  const auto remaining = std::max(request.deadline - Now(), kMinAttemptTimeout);
  auto head = request.forwarded;
  head.headers.emplace_back(kDeadlineHeader,
                            std::to_string(ToMilliseconds(remaining)));
  head.headers.emplace_back(kTraceHeader, FormatTraceparent(attempt.trace));
  // The pool destroys connections in a later event, so the pointer stays valid
  // even if the attempt ends during Send().
  auto* connection = attempt.lease.connection.get();
  const auto target = attempt.lease.target;
  connection->Send(
      head, request.exchange->body(),
      {config_.connect_timeout, remaining, config_.response_stall_timeout,
       config_.response_total_timeout},
      {
          .on_head = [this,
                      id](const ResponseHead& h) { OnResponseHead(id, h); },
          .on_body = [this, id](evbuffer* data) { OnResponseBody(id, data); },
          .on_end =
              [this, id](AttemptResult result, const UpstreamSignals& signals) {
                OnAttemptEnd(id, result, signals);
              },
      });
  if (attempts_.count(id) > 0) {
    Post(AttemptStarted{id, target, !connection->reused()});
  }
}

auto ServiceRunner::Execute(const CancelAttempt& action) -> void {
  Abandon({.attempt = action.attempt, .result = AttemptResult::kCancelled});
}

auto ServiceRunner::Abandon(const AttemptFinished& finished) -> void {
  const auto found = attempts_.find(finished.attempt);
  if (found == attempts_.end()) {
    return;
  }
  auto lease = std::move(found->second.lease);
  const auto latency = Now() - found->second.started;
  const auto request = requests_.find(found->second.request);
  if (request != requests_.end() && lease.connection->has_written()) {
    request->second.may_have_run = true;
  }
  attempts_.erase(found);
  lease.connection->Abandon();
  const auto target = lease.target;
  pool_.Release(std::move(lease));
  Post(AttemptEnded{finished.attempt, target, AttemptResult::kCancelled,
                    latency});
  Post(finished);
}

auto ServiceRunner::WithdrawUnsent(
    const std::function<bool(const TargetId&)>& is_usable) -> void {
  std::vector<AttemptId> unsent;
  for (const auto& [id, attempt] : attempts_) {
    if (!attempt.lease.connection->has_written() &&
        !is_usable(attempt.lease.target)) {
      unsent.push_back(id);
    }
  }
  for (const auto id : unsent) {
    Abandon({.attempt = id,
             .result = AttemptResult::kNoConnection,
             .withdrawn = true});
  }
}

auto ServiceRunner::Execute(const FailRequest& action) -> void {
  FinishWithError(action.request, action.error);
}

auto ServiceRunner::Execute(const SendToPeer& action) -> void {
  if (hooks_.send) {
    hooks_.send(PeerMessageToSend{action});
  }
}

auto ServiceRunner::Execute(const WakeDispatcherAt& action) -> void {
  dispatcher_timer_.Schedule(action.at - Now());
}

auto ServiceRunner::Execute(const WakeDetectorAt& action) -> void {
  detector_timer_.Schedule(action.at - Now());
}

auto ServiceRunner::Execute(const RetireConnections& action) -> void {
  pool_.Retire(action.target);
}

auto ServiceRunner::Execute(const SetTargetShare& action) -> void {
  Post(TargetShareChanged{action.target, action.share});
  if (action.state == TargetState::kDraining) {
    WithdrawUnsent(
        [&](const TargetId& target) { return target != action.target; });
  }
}

auto ServiceRunner::Execute(const StartProbe& action) -> void {
  auto lease = pool_.Acquire(action.target, true);
  if (!lease.connection) {
    Post(ProbeEnded{action.target, false});
    return;
  }
  const ProbeId id(++last_probe_);
  auto* connection = lease.connection.get();
  probes_.emplace(id, std::move(lease));
  const auto status = std::make_shared<int>(0);
  connection->Send(
      {"GET", kProbePath, {{"Host", action.target.value()}}}, nullptr,
      {config_.probe_timeout, config_.probe_timeout, config_.probe_timeout},
      {
          .on_head = [status](const ResponseHead& h) { *status = h.status; },
          .on_body = nullptr,
          .on_end =
              [this, id, status](AttemptResult result,
                                 const UpstreamSignals& signals) {
                OnProbeEnd(id,
                           result == AttemptResult::kAnswered &&
                               *status >= kOk && *status < kMultipleChoices,
                           signals);
              },
      });
}

auto ServiceRunner::OnProbeEnd(ProbeId id,
                               bool passed,
                               const UpstreamSignals& signals) -> void {
  const auto found = probes_.find(id);
  if (found == probes_.end()) {
    return;
  }
  auto lease = std::move(found->second);
  probes_.erase(found);
  const auto target = lease.target;
  pool_.Release(std::move(lease));
  OnSignals(target, signals);
  if (passed && !signals.draining) {
    OnHealthyProbe(target);
  }
  Post(ProbeEnded{target, passed});
}

auto ServiceRunner::OnResponseHead(AttemptId id, const ResponseHead& head)
    -> void {
  const auto attempt = attempts_.find(id);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto found = requests_.find(attempt->second.request);
  if (found == requests_.end() || found->second.responding_attempt) {
    return;
  }
  auto& request = found->second;
  request.responding_attempt = id;
  const auto relayed = MakeRelayedHead(head);
  if (request.keyed) {
    request.stored_response =
        StoredResponse{relayed.status, relayed.reason, relayed.headers, {}};
  }
  request.exchange->StartReply(relayed);
  Post(AttemptResponseStarted{id});
}

auto ServiceRunner::OnResponseBody(AttemptId id, evbuffer* data) -> void {
  const auto attempt = attempts_.find(id);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto found = requests_.find(attempt->second.request);
  if (found == requests_.end() || found->second.responding_attempt != id) {
    return;
  }
  auto& request = found->second;
  StoreResponseBody(request, data);
  request.exchange->SendBody(data);
  if (request.exchange->pending_bytes() > config_.response_buffer_bytes) {
    attempt->second.lease.connection->PauseReading();
  }
}

auto ServiceRunner::StoreResponseBody(ServiceRequest& request, evbuffer* data)
    -> void {
  if (!request.stored_response) {
    return;
  }
  const auto size = evbuffer_get_length(data);
  auto& body = request.stored_response->body;
  if (body.size() + size > config_.key_limits.max_response_bytes) {
    request.stored_response.reset();
    return;
  }
  const auto before = body.size();
  body.resize(before + size);
  evbuffer_copyout(data, body.data() + before, size);
}

auto ServiceRunner::OnOutputDrained(RequestId id) -> void {
  const auto found = requests_.find(id);
  if (found == requests_.end() || !found->second.responding_attempt) {
    return;
  }
  const auto attempt = attempts_.find(*found->second.responding_attempt);
  if (attempt != attempts_.end()) {
    attempt->second.lease.connection->ResumeReading();
  }
}

auto ServiceRunner::OnAttemptEnd(AttemptId id,
                                 AttemptResult result,
                                 const UpstreamSignals& signals) -> void {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  auto attempt = std::move(found->second);
  attempts_.erase(found);
  const auto target = attempt.lease.target;
  const auto now = Now();
  pool_.Release(std::move(attempt.lease));
  const auto request = requests_.find(attempt.request);
  if (request != requests_.end() && hooks_.on_attempt_ended) {
    hooks_.on_attempt_ended(
        {request->second, target, result, attempt.started, now, attempt.trace});
  }
  const bool answered = result == AttemptResult::kAnswered ||
                        result == AttemptResult::kServerError;
  const bool not_run =
      result == AttemptResult::kShed || result == AttemptResult::kConnectFailed;
  if (!answered && !not_run && request != requests_.end()) {
    request->second.may_have_run = true;
  }
  if (answered && request != requests_.end() &&
      request->second.responding_attempt == id) {
    FinishWithResponse(attempt.request);
  }
  OnSignals(target, signals);
  Post(AttemptEnded{id, target, result, now - attempt.started});
  Post(AttemptFinished{id, result, signals.load.value_or(-1)});
}

auto ServiceRunner::OnSignals(const TargetId& target,
                              const UpstreamSignals& signals) -> void {
  if (!signals.draining) {
    return;
  }
  const bool is_new =
      last_drain_signals_.insert_or_assign(target, Now()).second;
  if (is_new) {
    Post(DrainSignalled{target, true});
  }
}

auto ServiceRunner::OnHealthyProbe(const TargetId& target) -> void {
  const auto found = last_drain_signals_.find(target);
  if (found == last_drain_signals_.end() ||
      Now() - found->second < kDrainHoldTime) {
    return;
  }
  last_drain_signals_.erase(found);
  Post(DrainSignalled{target, false});
}

auto ServiceRunner::OnCallerDisconnected(RequestId id) -> void {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  if (found->second.keyed && MayHaveRun(id)) {
    // The request may already be running. It continues, because its outcome
    // determines the response to a retry with the same key.
    OnOutputDrained(id);
    return;
  }
  // The caller does not receive this error, but it releases an idempotency key.
  FinishWithError(id, ErrorKind::kDeadlinePassed);
  Post(RequestCancelled{id});
}

auto ServiceRunner::MayHaveRun(RequestId id) const -> bool {
  const auto request = requests_.find(id);
  if (request != requests_.end() && request->second.may_have_run) {
    return true;
  }
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [&](const auto& entry) {
                       return entry.second.request == id &&
                              entry.second.lease.connection->has_written();
                     });
}

auto ServiceRunner::FinishWithResponse(RequestId id) -> void {
  auto request = std::move(requests_.extract(id).mapped());
  request.exchange->FinishReply();
  if (request.keyed && hooks_.on_key_event) {
    KeyedRequestAnswered answered{id, nullptr};
    if (request.stored_response) {
      answered.response = std::make_shared<const StoredResponse>(
          std::move(*request.stored_response));
    }
    hooks_.on_key_event(answered);
  }
  if (hooks_.on_request_ended) {
    hooks_.on_request_ended({request, std::nullopt, Now()});
  }
}

auto ServiceRunner::FinishWithError(RequestId id, ErrorKind error) -> void {
  auto node = requests_.extract(id);
  if (node.empty()) {
    return;
  }
  auto request = std::move(node.mapped());
  if (request.exchange->state() == ReplyState::kStreaming) {
    request.exchange->Abort();
  } else {
    request.exchange->ReplyError(error);
  }
  if (request.keyed && hooks_.on_key_event) {
    hooks_.on_key_event(KeyedRequestFailed{id, error});
  }
  if (hooks_.on_request_ended) {
    hooks_.on_request_ended({request, error, Now()});
  }
}

}  // namespace flamingoyoke
