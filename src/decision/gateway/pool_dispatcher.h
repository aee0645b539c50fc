#ifndef FLAMINGOYOKE_DECISION_GATEWAY_POOL_DISPATCHER_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_POOL_DISPATCHER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/name_table.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/retry_budget.h"
#include "decision/dispatch/service_times.h"
#include "decision/gateway/fair_queue.h"
#include "decision/gateway/pool_event.h"
#include "decision/gateway/route_timeout_tracker.h"
#include "decision/gateway/run_shares.h"
#include "decision/gateway/target_pool.h"

namespace flamingoyoke {

// Dispatcher limits set by operators.
struct PoolLimits {
  // Minimum share of the usable targets that are never excluded for poor
  // health, 0 to 1.
  double floor_share = 0.7;
  // Retries allowed within 10 s: a share of the first attempts, and a minimum
  // that applies regardless of the share.
  double retry_share = 0.1;
  std::uint64_t min_retries = 1;
  // Maximum number of queued requests.
  std::size_t max_queued = 1000;

  auto operator==(const PoolLimits&) const -> bool = default;
};

// Counters since construction.
struct PoolCounters {
  std::uint64_t arrived = 0;
  std::uint64_t delivered = 0;
  // Delivered answers with a status of 500 or above.
  std::uint64_t delivered_errors = 0;
  std::uint64_t refused = 0;
  std::uint64_t retried = 0;
  std::uint64_t hedged = 0;
  std::uint64_t unknown = 0;
  // Answers in which a target said that it leaves, or asked for a rest.
  std::uint64_t leaving_answers = 0;
  std::uint64_t rest_answers = 0;
  // Refused requests, also those whose outcome is not known, by error.
  std::array<std::uint64_t, kEnumSize<ErrorKind>> refused_by = {};
};

// Schedules the requests of one service on one gateway: decides when and on
// which target a request runs, whether it is retried, and when it is refused.
// Each StartAttempt is followed by one PoolAttemptEnded unless the attempt is
// cancelled. A request ends with one DeliverAnswer, one RefuseRequest, or its
// PoolRequestCancelled.
//
// Not thread-safe. Deterministic: the same events with the same seed produce
// the same actions.
class PoolDispatcher {
 public:
  PoolDispatcher(ServiceId service, Random random, const PoolLimits& limits);

  // Handles one event and returns the resulting actions. `now` must not
  // decrease.
  auto OnEvent(const PoolEvent& event, TimePoint now)
      -> std::vector<PoolAction>;

  // Returns whether the service has a target that accepts requests.
  [[nodiscard]] auto HasTargets() const -> bool { return pool_.HasUsable(); }
  [[nodiscard]] auto queued() const -> std::size_t { return queue_.size(); }
  [[nodiscard]] auto queue() const -> const FairQueue& { return queue_; }
  [[nodiscard]] auto counters() const -> const PoolCounters& {
    return counters_;
  }
  [[nodiscard]] auto pool() const -> const TargetPool& { return pool_; }

 private:
  struct ActiveRequest {
    PoolRequestArrived info;
    TimePoint arrived;
    std::vector<TargetId> tried;
    // Number of attempts that may have reached a target.
    std::uint32_t sent = 0;
    std::uint32_t connect_failures = 0;
    std::vector<AttemptId> running;
    bool committed = false;
    // Whether an attempt ended without proof that the request did not run.
    bool may_have_run = false;
    // Whether the last attempt only kept the floor.
    bool is_trial = false;
    // Whether the configuration no longer allows the request.
    bool revoked = false;
  };
  // This gateway's part of the slots of the targets that look healthy and of
  // all open ones.
  struct SlotParts {
    double usable = 0;
    double open = 0;
  };
  struct RunningAttempt {
    RequestId request;
    TargetId target;
    TimePoint started;
    bool overdue = false;
  };

  auto On(const PoolConfigured& event) -> void;
  auto On(const PoolRequestArrived& event) -> void;
  auto On(const PoolRequestCancelled& event) -> void;
  auto On(const PoolRequestRevoked& event) -> void;
  auto On(const PoolAttemptCommitted& event) -> void;
  auto On(const PoolTargetSignalled& event) -> void;
  auto On(const PoolAttemptEnded& event) -> void;
  auto On(const PoolPeerReport& event) -> void;
  auto On(const PoolReportInvited& event) -> void;
  auto On(const PoolLoopDelayed& event) -> void;
  auto On(const PoolResumed& event) -> void;
  auto On(const PoolTimer& event) -> void;

  // Refuses all queued requests if no target is left for them.
  auto RefuseWithoutTargets() -> void;
  // Returns whether a target that the request has not tried opens early enough
  // before its deadline.
  [[nodiscard]] auto OpensInTime(const ActiveRequest& active) const -> bool;
  // Queues the request for another attempt. Returns false if none is allowed.
  auto QueueRetry(ActiveRequest& active, AttemptResult result) -> bool;
  auto StartQueued() -> void;
  // Refuses the queued requests that cannot start in time any more.
  auto RefuseUnreachable() -> void;
  auto CheckRunning() -> void;
  auto Hedge(ActiveRequest& active) -> void;
  auto Start(ActiveRequest& active, const TargetId& target) -> void;
  auto Deliver(const ActiveRequest& active, AttemptId attempt, bool is_error)
      -> void;
  // Ends the request with `error`. If an attempt may have run the request, an
  // error that claims it was not run is replaced by kUpstreamReset.
  auto Refuse(const ActiveRequest& active, ErrorKind error) -> void;
  // Removes a request and cancels its running attempts.
  auto Remove(RequestId request) -> void;
  // Returns the evidence about the target's health, or nothing if the result
  // says nothing about the target.
  auto AssessTarget(const ActiveRequest& active, AttemptResult result)
      -> std::optional<Evidence>;
  auto ReportToPeers() -> void;
  auto ScheduleTimer() -> void;

  [[nodiscard]] auto RequirementsOf(const ActiveRequest& active) const
      -> TargetRequirements;
  [[nodiscard]] auto ExpectedServiceTime(const ActiveRequest& active) const
      -> Duration;
  // Returns the estimated time until a slot is free for one more request, by
  // its turn or by the guarantee of its kind.
  [[nodiscard]] auto EstimateWait(const ActiveRequest& active) const
      -> Duration;
  // Returns this gateway's part of the slots that is left for requests of
  // `priority` and less urgent ones, by the recent attempts.
  [[nodiscard]] auto SlotsFor(std::uint32_t priority) const -> SlotParts;
  // Returns the estimated time until the turn of `active`, in which the
  // requests that were refused before it should return.
  [[nodiscard]] auto EstimateTurnWait(const ActiveRequest& active,
                                      std::size_t ahead) const -> Duration;
  [[nodiscard]] auto PlaceOf(const ActiveRequest& active) const
      -> FairQueue::Place;
  // Returns the estimated time until `started` requests have got one of
  // `slots`: one of a target that looks healthy, or one of any target once the
  // request accepts that. Some slots must be open.
  [[nodiscard]] auto EstimateTurn(const ActiveRequest& active,
                                  std::size_t started,
                                  const SlotParts& slots) const -> Duration;
  // Returns whether the request can start early enough before its deadline in
  // this place if the next slot is free at once.
  [[nodiscard]] auto CanStartInTime(const ActiveRequest& active,
                                    const FairQueue::Place& place,
                                    const SlotParts& slots) const -> bool;
  [[nodiscard]] auto IsTooLate(const ActiveRequest& active) const -> bool;
  [[nodiscard]] static auto FlowOf(const ActiveRequest& active)
      -> FairQueue::FlowId;
  auto Enqueue(const ActiveRequest& active) -> void;

  const ServiceId service_;
  const PoolLimits limits_;
  TimePoint now_;
  TargetPool pool_;
  RetryBudget retry_budget_;
  ServiceTimes service_times_;
  RunShares run_shares_;
  RouteTimeoutTracker route_timeouts_;
  std::vector<VmId> peers_;
  std::size_t gateways_ = 1;
  std::unordered_map<RequestId, ActiveRequest> requests_;
  std::unordered_map<AttemptId, RunningAttempt> attempts_;
  FairQueue queue_;
  Random random_;
  PoolCounters counters_;
  std::uint64_t last_attempt_ = 0;
  std::optional<TimePoint> last_report_;
  // When everything unreported was last sent.
  std::optional<TimePoint> last_full_report_;
  std::uint64_t last_report_sequence_ = 0;
  // Whether a report costs no message of its own while this event is handled.
  bool is_invited_ = false;
  // Interval between reports of successes of targets that look healthy.
  Duration calm_report_period_;
  // How long events of this gateway wait before they are handled.
  Duration loop_delay_ = Duration::zero();
  std::optional<TimePoint> scheduled_wake_;
  std::vector<PoolAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_POOL_DISPATCHER_H_
