#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_QUOTA_RUNNER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_QUOTA_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/fleet/fleet_view.h"
#include "decision/quota/gateway_quotas.h"
#include "decision/quota/quota_keeper.h"
#include "decision/quota/quota_scope_tracker.h"
#include "node/messages.h"
#include "node/traffic/gateway/pool_runner.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Executes the decisions about quotas of one gateway: holds the requests that
// wait for a lease, and exchanges messages with the keepers, of which this VM
// may be one. Not thread-safe.
class QuotaRunner {
 public:
  // A request and the service that was chosen for it.
  struct Held {
    GatewayRequest request;
    ServiceId service;
  };
  struct Hooks {
    std::function<void(PeerMessageToSend)> send;
    // The request is inside the quota.
    std::function<void(Held)> admit;
    // Answer the request, which was not run.
    std::function<void(Held, ErrorKind, Duration retry_after)> refuse;
    // The caller of the request is gone.
    std::function<void(Held)> drop;
  };

  // `loop` must outlive the runner.
  QuotaRunner(EventLoop& loop, Random random, Hooks hooks);
  QuotaRunner(const QuotaRunner&) = delete;
  auto operator=(const QuotaRunner&) -> QuotaRunner& = delete;

  // Takes the entries and the limits from `view`.
  auto OnView(const FleetView& view) -> void;
  // Returns whether requests of `team` are limited.
  [[nodiscard]] auto IsLimited(const TeamId& team) const -> bool {
    return quotas_.IsLimited(team);
  }
  // Decides on a request of a limited team, now or after a short wait.
  auto Submit(Held held) -> void;
  // Handles a message from another VM; ignores those that are not about quotas.
  auto OnPeerMessage(const PeerEnvelope& envelope) -> void;
  // Refuses the waiting requests that `is_allowed` rejects.
  auto Recheck(const std::function<bool(GatewayRequest&)>& is_allowed) -> void;
  // Refuses all waiting requests at a hard stop.
  auto FailAll() -> void;

  // Number of requests that wait.
  [[nodiscard]] auto active() const -> std::size_t { return held_.size(); }
  auto AppendTo(std::vector<MetricSample>& samples) const -> void;

 private:
  using Event = std::variant<GatewayQuotaEvent, QuotaKeeperEvent>;

  auto Post(Event event) -> void;
  auto HandleEvent(const GatewayQuotaEvent& event) -> void;
  auto HandleEvent(const QuotaKeeperEvent& event) -> void;
  auto Execute(const AdmitRequest& action) -> void;
  auto Execute(const RefuseOverQuota& action) -> void;
  auto Execute(const SendToPeer& action) -> void;
  auto Execute(const TeamLimited& action) -> void;
  auto Execute(const WakeQuotaAt& action) -> void;
  auto Deliver(const VmId& sender,
               Incarnation incarnation,
               const PeerMessage& message) -> void;
  auto OnCallerGone(RequestId id) -> void;
  // Removes a request that waits.
  auto Take(RequestId id) -> std::optional<Held>;

  const Hooks hooks_;
  VmId self_;
  Incarnation incarnation_;
  QuotaScopeTracker tracker_;
  std::optional<QuotaScope> scope_;
  std::shared_ptr<const Routing> routing_;
  GatewayQuotas quotas_;
  QuotaKeeper keeper_;
  std::unordered_map<RequestId, Held> held_;
  std::deque<Event> events_;
  bool is_handling_ = false;
  EventLoop::Handle timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_QUOTA_RUNNER_H_
