#ifndef FLAMINGOYOKE_DECISION_GATEWAY_POOL_DISPATCHER_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_POOL_DISPATCHER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/retry_budget.h"
#include "decision/dispatch/service_times.h"
#include "decision/gateway/pool_event.h"
#include "decision/gateway/route_expiry.h"
#include "decision/gateway/target_pool.h"

namespace flamingoyoke {

// Bounds of the dispatcher that operators set.
struct PoolLimits {
  // Least share of the usable targets that health never excludes, 0 to 1.
  double floor_share = 0.7;
  // Attempts after the first one, as a share of the first attempts in 10 s,
  // and the number that is allowed in any case.
  double retry_share = 0.1;
  std::uint64_t retry_least = 1;
  // Requests that may wait.
  std::size_t queue = 1000;

  auto operator==(const PoolLimits&) const -> bool = default;
};

// Counters since the dispatcher was made.
struct PoolCounters {
  std::uint64_t arrived = 0;
  std::uint64_t delivered = 0;
  // Delivered answers of 500 and above.
  std::uint64_t delivered_errors = 0;
  std::uint64_t refused = 0;
  std::uint64_t retried = 0;
  std::uint64_t hedged = 0;
  std::uint64_t unknown = 0;
};

// Decides for one service on one gateway which request runs when and on which
// target, when a request is tried again, and when it is refused. Each
// StartAttempt is followed by one PoolAttemptEnded unless it is cancelled. A
// request ends with one DeliverAnswer, one RefuseRequest, or its
// PoolRequestCancelled.
//
// Not thread-safe. The same events with the same seed give the same actions.
class PoolDispatcher {
 public:
  PoolDispatcher(ServiceId service, Random random, const PoolLimits& limits);

  // Applies one event. `now` must not go backwards.
  auto OnEvent(const PoolEvent& event, TimePoint now)
      -> std::vector<PoolAction>;

  // Whether the service has a target that may get work.
  [[nodiscard]] auto HasTargets() const -> bool { return pool_.HasUsable(); }
  [[nodiscard]] auto waiting() const -> std::size_t { return queue_.size(); }
  [[nodiscard]] auto counters() const -> const PoolCounters& {
    return counters_;
  }
  [[nodiscard]] auto pool() const -> const TargetPool& { return pool_; }

 private:
  struct Tracked {
    PoolRequestArrived info;
    TimePoint arrived;
    std::vector<TargetId> tried;
    // Attempts that may have reached a target.
    std::uint32_t sent = 0;
    std::uint32_t connect_failures = 0;
    std::vector<AttemptId> running;
    bool committed = false;
    // Whether an attempt ended without proof that the request did not run.
    bool may_have_run = false;
  };
  struct Running {
    RequestId request;
    TargetId target;
    TimePoint started;
    bool overdue = false;
  };
  // Priority, deadline, id.
  using QueueKey = std::tuple<std::uint32_t, TimePoint, RequestId>;

  auto On(const PoolConfigured& event) -> void;
  auto On(const PoolRequestArrived& event) -> void;
  auto On(const PoolRequestCancelled& event) -> void;
  auto On(const PoolAttemptCommitted& event) -> void;
  auto On(const PoolAttemptEnded& event) -> void;
  auto On(const PoolPeerReport& event) -> void;
  auto On(const PoolResumed& event) -> void;
  auto On(const PoolTimer& event) -> void;

  // Queues another attempt; returns whether one is allowed.
  auto TryAgain(Tracked& tracked, AttemptResult result) -> bool;
  auto RunWaiting() -> void;
  auto ExpireWaiting() -> void;
  auto WatchRunning() -> void;
  auto Hedge(Tracked& tracked) -> void;
  auto Start(Tracked& tracked, const TargetId& target) -> void;
  auto Deliver(const Tracked& tracked, AttemptId attempt, bool is_error)
      -> void;
  // Ends the request with `error`, or with one that is true of all its
  // attempts.
  auto Refuse(const Tracked& tracked, ErrorKind error) -> void;
  // Forgets a request and cancels what still runs for it.
  auto Forget(RequestId request) -> void;
  // Returns what the end of an attempt says about its target.
  auto Judge(const Tracked& tracked, AttemptResult result)
      -> std::optional<Evidence>;
  auto Tell() -> void;
  auto OrderWake() -> void;

  [[nodiscard]] auto WishOf(const Tracked& tracked) const -> TargetWish;
  [[nodiscard]] auto TypicalTime(const Tracked& tracked) const -> Duration;
  // Time until a slot is free for one more request.
  [[nodiscard]] auto ForecastWait(const Tracked& tracked) const -> Duration;
  [[nodiscard]] auto IsTooLate(const Tracked& tracked) const -> bool;
  [[nodiscard]] static auto KeyOf(const Tracked& tracked) -> QueueKey;

  const ServiceId service_;
  const PoolLimits limits_;
  TimePoint now_;
  TargetPool pool_;
  RetryBudget retries_;
  ServiceTimes times_;
  RouteExpiry expiry_;
  std::vector<VmId> peers_;
  std::size_t gateways_ = 1;
  std::unordered_map<RequestId, Tracked> requests_;
  std::unordered_map<AttemptId, Running> attempts_;
  std::set<QueueKey> queue_;
  PoolCounters counters_;
  std::uint64_t last_attempt_ = 0;
  std::optional<TimePoint> last_told_;
  std::optional<TimePoint> ordered_wake_;
  std::vector<PoolAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_POOL_DISPATCHER_H_
