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
#include "runtime/event_loop.h"
#include "table/registry.h"
#include "table/routing.h"

namespace flamingoyoke {

// A request that a route took, until it is answered.
struct GatewayRequest {
  RequestId id;
  std::unique_ptr<CallerExchange> exchange;
  // The caller's own id of the request.
  std::string caller_id;
  // What is sent to the target, without what each attempt sets.
  RequestHead forwarded;
  std::string route;
  Repeatability repeatability = Repeatability::kOnce;
  TimePoint arrived;
  TimePoint deadline;
  Duration objective = Duration::zero();
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 1;
  TraceContext trace;
  // What was tried, for the log: target and result.
  std::string history;
};

// Carries out for one service what its pool dispatcher decides. Not
// thread-safe.
class PoolRunner {
 public:
  // A request that ended.
  struct Record {
    const GatewayRequest& request;
    // Status of the answer; 0 if there was none.
    int status = 0;
    // Not set if the answer is the target's.
    std::optional<ErrorKind> error;
    TimePoint ended;
  };
  struct Hooks {
    // Called before anything is decided, to notice a pause of the process.
    std::function<void()> check_pause;
    std::function<void(const Record&)> on_request_ended;
    std::function<void(PeerMessageToSend)> send;
    // Called with the bytes of each part of an answer.
    std::function<void(std::size_t)> on_received;
  };

  // `config` and `loop` must outlive the runner.
  PoolRunner(EventLoop& loop,
             const GatewayConfig& config,
             const ServiceId& service,
             Random random,
             Hooks hooks);
  PoolRunner(const PoolRunner&) = delete;
  auto operator=(const PoolRunner&) -> PoolRunner& = delete;

  // Takes the registered targets, the gateways to tell of outcomes, and the
  // number of all gateways. `connections` is what one target accepts from the
  // whole fleet.
  auto Configure(const std::vector<RegisteredTarget>& targets,
                 const std::vector<VmId>& peers,
                 std::size_t gateways,
                 std::uint32_t connections,
                 std::optional<std::uint64_t> retry_least) -> void;

  // Runs a request and answers it. Its id must be new.
  auto Submit(GatewayRequest request) -> void;

  auto OnPeerReport(const VmId& peer, const OutcomeReport& report) -> void;
  // The process was paused.
  auto OnResumed() -> void;
  // Answers all requests now, each truthfully.
  auto FailAll() -> void;

  // Attempts under way at `target`.
  [[nodiscard]] auto under_way(const TargetId& target) const -> std::size_t;
  // Requests that are not answered yet, and work whose caller is gone.
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
    EvbufferPtr body;
    // Whether the answer is being relayed.
    bool relaying = false;
  };

  auto Post(PoolEvent event) -> void;
  auto Take(const PoolEvent& event) -> void;
  auto Do(const StartAttempt& action) -> void;
  auto Do(const CancelAttempt& action) -> void;
  auto Do(const DeliverAnswer& action) -> void;
  auto Do(const RefuseRequest& action) -> void;
  auto Do(const SendToPeer& action) -> void;
  auto Do(const WakePoolAt& action) -> void;

  auto SendAttempt(AttemptId id, Attempt& attempt, GatewayRequest& request)
      -> void;
  auto OnAnswerBody(AttemptId id, evbuffer* data) -> void;
  auto OnAttemptEnd(AttemptId id,
                    AttemptResult result,
                    const UpstreamSignals& signals) -> void;
  auto OnDrained(RequestId id) -> void;
  auto OnCallerGone(RequestId id) -> void;
  auto Finish(RequestId id, int status, std::optional<ErrorKind> error) -> void;

  EventLoop& loop_;
  const GatewayConfig& config_;
  const Hooks hooks_;
  Random random_;
  const ServiceId service_;
  PoolDispatcher dispatcher_;
  UpstreamPool pool_;
  std::unordered_map<RequestId, GatewayRequest> requests_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::deque<PoolEvent> events_;
  bool taking_ = false;
  EventLoop::Handle timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_POOL_RUNNER_H_
