#include "node/traffic/gateway/pool_runner.h"

#include <event2/buffer.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "core/answer_table.h"
#include "core/name_table.h"
#include "node/log.h"
#include "node/traffic/caller_headers.h"
#include "node/traffic/error_response.h"
#include "node/traffic/gateway/gateway_headers.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// Minimum time granted to a target; header values are whole milliseconds.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(1);
// Sending a body of this size takes longer than most requests take to run.
constexpr std::size_t kLongBodyBytes = 16 << 10;
// Maximum number of bytes that an answer may hold while memory is short.
constexpr std::size_t kScarceBufferBytes = 16 << 10;

auto CopyOf(evbuffer* buffer) -> std::string {
  std::string text(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, text.data(), text.size());
  return text;
}

auto Describe(const AdmissionEstimate& estimate) -> std::string {
  std::string text = " slots=" + std::to_string(estimate.slots);
  text += " wait_ms=" + std::to_string(ToMilliseconds(estimate.wait));
  text += " run_ms=" + std::to_string(ToMilliseconds(estimate.run_time));
  text += " targets=" + std::to_string(estimate.usable_targets) + "/" +
          std::to_string(estimate.open_targets);
  text += " evidence_ms=" +
          (estimate.evidence_age
               ? std::to_string(ToMilliseconds(*estimate.evidence_age))
               : "-");
  return text;
}

}  // namespace

PoolRunner::PoolRunner(EventLoop& loop,
                       const GatewayConfig& config,
                       const Shared& shared,
                       const ServiceId& service,
                       Random random,
                       Hooks hooks)
    : config_(config),
      memory_(shared.memory),
      work_times_(shared.work_times),
      hooks_(std::move(hooks)),
      random_(random),
      service_(service),
      dispatcher_(service, Random(random_.Next()), config.limits),
      pool_(loop,
            RegisteredUpstreamInterface(config.dialect),
            shared.memory,
            shared.connections),
      timer_(loop.MakePromptTimer([this] {
        const WorkTimes::Scope work(work_times_, ToName(WorkKind::kTimer));
        Post(PoolTimer{});
      })) {}

auto PoolRunner::Configure(const std::vector<RegisteredTarget>& targets,
                           const std::vector<VmId>& peers,
                           std::size_t gateways,
                           std::uint32_t connections,
                           std::optional<std::uint64_t> min_retries,
                           const std::vector<PoolGateway>& owners) -> void {
  ServiceRow row;
  row.service = service_;
  row.connections = connections;
  row.home = static_cast<std::uint32_t>(gateways);
  for (const auto& target : targets) {
    row.targets.push_back(
        {target.id, target.host, target.port, 1.0, target.failure_domain});
  }
  pool_.Configure(row);
  Post(PoolConfigured{targets, config_.failure_domain, peers, gateways,
                      min_retries, config_.traffic.vm, owners});
  std::unordered_set<TargetId> usable;
  for (const auto& target : targets) {
    if (!target.leaving) {
      usable.insert(target.id);
    }
  }
  WithdrawUnsent(
      [&](const TargetId& target) { return usable.contains(target); });
}

auto PoolRunner::Submit(GatewayRequest request) -> void {
  const auto id = request.id;
  request.exchange->set_on_disconnect([this, id] { OnCallerGone(id); });
  request.exchange->set_on_drained([this, id] { OnDrained(id); });
  const auto body_bytes = evbuffer_get_length(request.exchange->body());
  const PoolRequestArrived arrived{
      .request = id,
      .route = request.route,
      .team = request.team,
      .work_class =
          body_bytes >= kLongBodyBytes ? WorkClass::kLong : WorkClass::kShort,
      .repeatable = request.repeatability == Repeatability::kRepeatable,
      .priority = request.priority,
      .max_attempts = request.max_attempts,
      .deadline = request.deadline,
      .objective = request.objective,
      .body_bytes = body_bytes,
  };
  requests_.emplace(id, std::move(request));
  Post(arrived);
}

auto PoolRunner::Recheck(const std::function<bool(GatewayRequest&)>& is_allowed)
    -> void {
  std::vector<RequestId> revoked;
  for (auto& [id, request] : requests_) {
    if (!is_allowed(request)) {
      revoked.push_back(id);
    }
  }
  for (const auto id : revoked) {
    Post(PoolRequestRevoked{id});
  }
}

auto PoolRunner::OnPeerReport(const VmId& peer, const OutcomeReport& report)
    -> void {
  Post(PoolPeerReport{peer, report.outcomes, report.requests, report.sequence});
}

auto PoolRunner::InviteReport() -> void {
  if (dispatcher_.pool().has_unreported()) {
    Post(PoolReportInvited{});
  }
}

auto PoolRunner::OnLoopDelay(Duration delay) -> void {
  Post(PoolLoopDelayed{delay});
}

auto PoolRunner::OnResumed() -> void {
  // Goes first, because queued events may be from before the pause.
  events_.emplace_front(PoolResumed{});
  Post(PoolTimer{});
}

auto PoolRunner::FailAll() -> void {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    Execute(RefuseRequest{id, MayHaveRun(id) ? ErrorKind::kUpstreamReset
                                             : ErrorKind::kHardStopQueued});
    Post(PoolRequestCancelled{id});
  }
}

auto PoolRunner::MayHaveRun(RequestId id) const -> bool {
  return std::any_of(attempts_.begin(), attempts_.end(),
                     [&](const auto& attempt) {
                       const auto& connection = attempt.second.lease.connection;
                       return attempt.second.request == id &&
                              (!connection || connection->has_written());
                     });
}

auto PoolRunner::running_attempts(const TargetId& target) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      attempts_.begin(), attempts_.end(), [&](const auto& attempt) {
        return attempt.second.lease.target == target;
      }));
}

auto PoolRunner::Post(PoolEvent event) -> void {
  if (hooks_.check_pause) {
    hooks_.check_pause();
  }
  events_.push_back(std::move(event));
  if (is_handling_) {
    return;
  }
  is_handling_ = true;
  while (!events_.empty()) {
    const auto next = std::move(events_.front());
    events_.pop_front();
    HandleEvent(next);
  }
  is_handling_ = false;
}

auto PoolRunner::HandleEvent(const PoolEvent& event) -> void {
  for (const auto& action : dispatcher_.OnEvent(event, Now())) {
    std::visit([this](const auto& typed) { Execute(typed); }, action);
  }
  if (const auto* ended = std::get_if<PoolAttemptEnded>(&event)) {
    // The answer was delivered or discarded.
    attempts_.erase(ended->attempt);
  }
}

auto PoolRunner::Execute(const StartAttempt& action) -> void {
  const auto request = requests_.find(action.request);
  if (request == requests_.end()) {
    Post(PoolAttemptEnded{action.attempt, AttemptResult::kCancelled});
    return;
  }
  auto lease = pool_.Acquire(action.target, false);
  if (!lease.connection) {
    request->second.history += " " + action.target.value() + "=no-connection";
    Post(PoolAttemptEnded{action.attempt, lease.is_part_used_up
                                              ? AttemptResult::kNoConnection
                                              : AttemptResult::kConnectFailed});
    return;
  }
  auto& attempt =
      attempts_
          .emplace(action.attempt,
                   Attempt{action.request,
                           std::move(lease),
                           Now(),
                           {},
                           {},
                           MakeEvbuffer(),
                           std::make_unique<AnswerMemory::Share>(&memory_)})
          .first->second;
  SendAttempt(action.attempt, attempt, request->second);
}

auto PoolRunner::SendAttempt(AttemptId id,
                             Attempt& attempt,
                             GatewayRequest& request) -> void {
  const auto left = std::max(request.deadline - Now(), kMinAttemptTime);
  auto head = request.forwarded;
  AddAttemptHeaders(config_.dialect.headers, left, attempt.lease.target,
                    head.headers);
  head.headers.emplace_back(
      kTraceHeader, FormatTraceparent(StartSpan(request.trace, random_)));
  const auto& traffic = config_.traffic;
  attempt.lease.connection->Send(
      head, request.exchange->body(),
      {traffic.connect_timeout, left + config_.answer_grace,
       traffic.response_stall_timeout, left + config_.answer_grace},
      {
          .on_signals =
              [this, id](const UpstreamSignals& signals) {
                OnSignals(id, signals);
              },
          .on_head =
              [this, id](const ResponseHead& answer) {
                const auto found = attempts_.find(id);
                if (found != attempts_.end()) {
                  found->second.head = answer;
                }
              },
          .on_body = [this, id](evbuffer* data) { OnAnswerBody(id, data); },
          .on_end =
              [this, id](AttemptResult result, const UpstreamSignals& signals) {
                OnAttemptEnd(id, result, signals);
              },
      });
}

auto PoolRunner::OnSignals(AttemptId id, const UpstreamSignals& signals)
    -> void {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  found->second.answered = Now();
  const auto request = requests_.find(found->second.request);
  found->second.is_withheld = signals.promises_not_run &&
                              request != requests_.end() &&
                              !IsDeliverable(AttemptResult::kFalseRefusal,
                                             request->second.repeatability ==
                                                 Repeatability::kRepeatable);
  if (!signals.draining && !signals.rest) {
    return;
  }
  const auto target = found->second.lease.target;
  if (signals.draining) {
    Log(Part::kGateway, LogLevel::kInfo,
        "target " + target.value() + " of service " + service_.value() +
            " said that it leaves");
    pool_.Retire(target);
  }
  if (signals.rest) {
    Log(Part::kGateway, LogLevel::kInfo,
        "target " + target.value() + " of service " + service_.value() +
            " asked for a rest of " +
            std::to_string(ToMilliseconds(*signals.rest)) + " ms");
  }
  Post(PoolTargetSignalled{id, signals.draining,
                           signals.rest.value_or(Duration::zero())});
  if (signals.draining) {
    WithdrawUnsent([&](const TargetId& each) { return each != target; });
  }
}

auto PoolRunner::WithdrawUnsent(
    const std::function<bool(const TargetId&)>& is_usable) -> void {
  std::vector<AttemptId> unsent;
  for (const auto& [id, attempt] : attempts_) {
    const auto& connection = attempt.lease.connection;
    if (connection && !connection->has_written() &&
        !is_usable(attempt.lease.target)) {
      unsent.push_back(id);
    }
  }
  for (const auto id : unsent) {
    const auto found = attempts_.find(id);
    const auto request = requests_.find(found->second.request);
    if (request != requests_.end()) {
      request->second.history +=
          " " + found->second.lease.target.value() + "=withdrawn";
    }
    Execute(CancelAttempt{id});
    Post(PoolAttemptEnded{id, AttemptResult::kNoConnection});
  }
}

auto PoolRunner::OnAnswerBody(AttemptId id, evbuffer* data) -> void {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  auto& attempt = found->second;
  if (hooks_.on_received) {
    hooks_.on_received(evbuffer_get_length(data));
  }
  if (attempt.is_withheld) {
    // The part is discarded; only the end of the answer matters.
    return;
  }
  evbuffer_add_buffer(attempt.body.get(), data);
  attempt.memory->Set(evbuffer_get_length(attempt.body.get()));
  const auto request = requests_.find(attempt.request);
  if (request == requests_.end()) {
    return;
  }
  Relay(id, attempt, *request->second.exchange);
}

auto PoolRunner::Relay(AttemptId id, Attempt& attempt, CallerExchange& exchange)
    -> void {
  const auto buffered = evbuffer_get_length(attempt.body.get());
  if (!attempt.relaying) {
    const auto max_buffered = memory_.is_short()
                                  ? kScarceBufferBytes
                                  : config_.max_buffered_answer_bytes;
    if (buffered <= max_buffered) {
      return;
    }
    attempt.relaying = true;
    exchange.StartReply(MakeRelayedHead(attempt.head));
    Post(PoolAttemptCommitted{id});
  }
  exchange.SendBody(attempt.body.get());
  const auto pending = exchange.pending_bytes();
  attempt.memory->Set(pending);
  const auto max_pending = memory_.is_short()
                               ? kScarceBufferBytes
                               : config_.traffic.response_buffer_bytes;
  if (pending > max_pending) {
    attempt.lease.connection->PauseReading();
  }
}

auto PoolRunner::OnAttemptEnd(AttemptId id,
                              AttemptResult result,
                              const UpstreamSignals& signals) -> void {
  const WorkTimes::Scope work(work_times_, ToName(WorkKind::kAttempt));
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) {
    return;
  }
  auto& attempt = found->second;
  const auto target = attempt.lease.target;
  const auto request = requests_.find(attempt.request);
  if (request != requests_.end()) {
    request->second.history +=
        " " + target.value() + "=" + std::string(ToName(result)) + "/" +
        std::to_string(ToMilliseconds(Now() - attempt.started));
  }
  if (signals.oversized) {
    Log(Part::kGateway, LogLevel::kWarning,
        "target " + target.value() + " of service " + service_.value() +
            " sent more than an answer may take; closed its connection");
  }
  std::optional<LoadNews> load;
  if (signals.stated_load && !signals.foreign) {
    load = LoadNews{*signals.stated_load, attempt.answered.value_or(Now())};
  }
  pool_.Release(std::move(attempt.lease));
  if (signals.foreign) {
    // Other data on connections to this target may be outdated too.
    pool_.Retire(target);
  }
  Post(PoolAttemptEnded{id, result, signals.other_target,
                        signals.rest.has_value(), load});
}

auto PoolRunner::Execute(const CancelAttempt& action) -> void {
  const auto found = attempts_.find(action.attempt);
  if (found == attempts_.end() || !found->second.lease.connection) {
    return;
  }
  auto lease = std::move(found->second.lease);
  attempts_.erase(found);
  lease.connection->Abandon();
  pool_.Release(std::move(lease));
}

auto PoolRunner::Execute(const DeliverAnswer& action) -> void {
  const auto request = requests_.find(action.request);
  const auto found = attempts_.find(action.attempt);
  if (request == requests_.end() || found == attempts_.end()) {
    return;
  }
  auto& attempt = found->second;
  auto& exchange = *request->second.exchange;
  if (attempt.relaying) {
    exchange.FinishReply();
  } else {
    exchange.Reply(MakeRelayedHead(attempt.head), CopyOf(attempt.body.get()));
  }
  Finish(action.request, attempt.head.status, std::nullopt);
}

auto PoolRunner::Execute(const RefuseRequest& action) -> void {
  const auto found = requests_.find(action.request);
  if (found == requests_.end()) {
    return;
  }
  if (action.estimate) {
    found->second.history += Describe(*action.estimate);
  }
  auto& exchange = *found->second.exchange;
  if (exchange.state() == ReplyState::kStreaming) {
    exchange.Abort();
  } else {
    exchange.Reply(
        MakeErrorHead(action.error,
                      {.delay = action.retry_after,
                       .fractional = config_.dialect.fractional_retry_after}),
        MakeErrorBody(action.error));
  }
  Finish(action.request, AnswerFor(action.error).http_status, action.error);
}

auto PoolRunner::Execute(const SendToPeer& action) -> void {
  if (hooks_.send) {
    hooks_.send(action);
  }
}

auto PoolRunner::Execute(const WakePoolAt& action) -> void {
  timer_.Schedule(std::max(action.at - Now(), Duration::zero()));
}

auto PoolRunner::OnDrained(RequestId id) -> void {
  for (auto& [attempt_id, attempt] : attempts_) {
    if (attempt.request == id && attempt.relaying && attempt.lease.connection) {
      attempt.memory->Set(0);
      attempt.lease.connection->ResumeReading();
    }
  }
}

auto PoolRunner::OnCallerGone(RequestId id) -> void {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const bool may_have_run = MayHaveRun(id);
  if (found->second.repeatability == Repeatability::kOnce && may_have_run) {
    // The request cannot be repeated, so its running attempt may finish.
    OnDrained(id);
    return;
  }
  found->second.history += " caller-gone";
  Finish(id, 0, std::nullopt);
  Post(PoolRequestCancelled{id});
}

auto PoolRunner::Finish(RequestId id,
                        int status,
                        std::optional<ErrorKind> error) -> void {
  auto node = requests_.extract(id);
  if (!node.empty() && hooks_.on_request_ended) {
    hooks_.on_request_ended({node.mapped(), status, error, Now()});
  }
}

}  // namespace flamingoyoke
