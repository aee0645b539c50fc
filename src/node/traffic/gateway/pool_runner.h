#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_POOL_RUNNER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_POOL_RUNNER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/gateway/pool_dispatcher.h"
#include "node/messages.h"
#include "node/traffic/caller_exchange.h"
#include "node/traffic/gateway/gateway_config.h"
#include "node/traffic/trace_context.h"
#include "node/traffic/upstream_pool.h"
#include "node/work_times.h"
#include "runtime/event_loop.h"
#include "table/registry.h"
#include "table/routing.h"

namespace flamingoyoke {

// A request from its routing until it is answered.
struct GatewayRequest {
  RequestId id;
  std::unique_ptr<CallerExchange> exchange;
  // Request ID sent by the caller.
  std::string caller_id;
  // Head sent to the target, without the headers of each attempt.
  RequestHead forwarded;
  std::string route;
  // Empty if the request names no team.
  TeamId team;
  Repeatability repeatability = Repeatability::kOnce;
  TimePoint arrived;
  TimePoint deadline;
  Duration objective = Duration::zero();
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  TraceContext trace;
  // Targets tried and their results, for the log.
  std::string history;
};

// Executes the actions of the pool dispatcher of one service. Not thread-safe.
class PoolRunner {
 public:
  // An ended request.
  struct Record {
    const GatewayRequest& request;
    // Status of the answer; 0 if none was sent.
    int status = 0;
    // Unset if the answer came from the target.
    std::optional<ErrorKind> error;
    TimePoint ended;
  };
  struct Hooks {
    // Called before each event is handled, to detect a pause of the process.
    std::function<void()> check_pause;
    std::function<void(const Record&)> on_request_ended;
    std::function<void(const SendToPeer&)> send;
    // Called with the size of each part of an answer.
    std::function<void(std::size_t)> on_received;
  };

  // What the runners of all services share.
  struct Shared {
    AnswerMemory& memory;
    ConnectionPart& connections;
    WorkTimes& work_times;
  };

  // `config`, `loop` and what `shared` refers to must outlive the runner.
  PoolRunner(EventLoop& loop,
             const GatewayConfig& config,
             const Shared& shared,
             const ServiceId& service,
             Random random,
             Hooks hooks);
  PoolRunner(const PoolRunner&) = delete;
  auto operator=(const PoolRunner&) -> PoolRunner& = delete;

  // Sets the registered targets, the gateways that receive outcome reports, and
  // the number of all gateways. `connections` is the maximum number of
  // connections that one target accepts from the whole fleet.
  auto Configure(const std::vector<RegisteredTarget>& targets,
                 const std::vector<VmId>& peers,
                 std::size_t gateways,
                 std::uint32_t connections,
                 std::optional<std::uint64_t> min_retries,
                 const std::vector<PoolGateway>& owners) -> void;

  // Runs a request and answers it. Its ID must be new.
  auto Submit(GatewayRequest request) -> void;

  // Refuses the waiting requests for which `is_allowed` returns false; running
  // ones are finished, but not retried. `is_allowed` may change a request.
  auto Recheck(const std::function<bool(GatewayRequest&)>& is_allowed) -> void;

  auto OnPeerReport(const VmId& peer, const OutcomeReport& report) -> void;
  // Sends what there is to report if it can go together with a report of
  // another service.
  auto InviteReport() -> void;
  // Events waited in the loop for `delay` lately.
  auto OnLoopDelay(Duration delay) -> void;
  // The process resumed after a pause.
  auto OnResumed() -> void;
  // Answers all requests with an error immediately. Those that may have run are
  // not reported as not run.
  auto FailAll() -> void;

  // Returns the number of attempts running on `target`.
  [[nodiscard]] auto running_attempts(const TargetId& target) const
      -> std::size_t;
  // Returns the number of unanswered requests, including running non-repeatable
  // ones whose caller disconnected.
  [[nodiscard]] auto active() const -> std::size_t { return requests_.size(); }
  [[nodiscard]] auto dispatcher() const -> const PoolDispatcher& {
    return dispatcher_;
  }

 private:
  struct Attempt {
    RequestId request;
    UpstreamPool::Lease lease;
    TimePoint started;
    ResponseHead head;
    // When the head of the answer arrived.
    std::optional<TimePoint> answered;
    EvbufferPtr body;
    // Bytes of the answer that wait here and at the caller's connection.
    std::unique_ptr<AnswerMemory::Share> memory;
    // Whether the answer is being streamed to the caller.
    bool relaying = false;
    // Whether the answer must not reach the caller.
    bool is_withheld = false;
  };

  auto Post(PoolEvent event) -> void;
  auto HandleEvent(const PoolEvent& event) -> void;
  auto Execute(const StartAttempt& action) -> void;
  auto Execute(const CancelAttempt& action) -> void;
  auto Execute(const DeliverAnswer& action) -> void;
  auto Execute(const RefuseRequest& action) -> void;
  auto Execute(const SendToPeer& action) -> void;
  auto Execute(const WakePoolAt& action) -> void;

  auto SendAttempt(AttemptId id, Attempt& attempt, GatewayRequest& request)
      -> void;
  // The head of the answer says what the target wants.
  auto OnSignals(AttemptId id, const UpstreamSignals& signals) -> void;
  auto OnAnswerBody(AttemptId id, evbuffer* data) -> void;
  // Sends buffered data of an answer to its caller, and pauses the target while
  // the caller is slower.
  auto Relay(AttemptId id, Attempt& attempt, CallerExchange& exchange) -> void;
  auto OnAttemptEnd(AttemptId id,
                    AttemptResult result,
                    const UpstreamSignals& signals) -> void;
  // Ends the attempts for whose target `is_usable` returns false and that have
  // written nothing, so that their requests go elsewhere.
  auto WithdrawUnsent(const std::function<bool(const TargetId&)>& is_usable)
      -> void;
  // Returns whether bytes of a running attempt of the request were written.
  [[nodiscard]] auto MayHaveRun(RequestId id) const -> bool;
  auto OnDrained(RequestId id) -> void;
  auto OnCallerGone(RequestId id) -> void;
  auto Finish(RequestId id, int status, std::optional<ErrorKind> error) -> void;

  const GatewayConfig& config_;
  AnswerMemory& memory_;
  WorkTimes& work_times_;
  const Hooks hooks_;
  Random random_;
  const ServiceId service_;
  PoolDispatcher dispatcher_;
  UpstreamPool pool_;
  std::unordered_map<RequestId, GatewayRequest> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::deque<PoolEvent> events_;
  bool is_handling_ = false;
  EventLoop::Handle timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_POOL_RUNNER_H_
