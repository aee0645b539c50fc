#ifndef FLAMINGOYOKE_DECISION_GATEWAY_TARGET_POOL_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_TARGET_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/detection/rate_window.h"
#include "decision/gateway/load_estimate.h"
#include "decision/gateway/recent_list.h"
#include "decision/gateway/run_time_average.h"
#include "decision/gateway/target_availability.h"
#include "decision/gateway/target_health_estimator.h"
#include "decision/gateway/target_ownership.h"
#include "decision/peer/peer_message.h"
#include "decision/peer/report_order.h"
#include "table/registry.h"

namespace flamingoyoke {

// Properties of a request that affect the choice of its target.
struct TargetRequirements {
  // Whether a failed attempt would be retried on another target.
  bool may_retry = false;
  // Size of the request body.
  std::uint64_t body_bytes = 0;
  // Targets that already received the request.
  const std::vector<TargetId>* tried = nullptr;
  // Time in the queue as a share of the request's objective. The longer a
  // request waits, the less healthy a target it accepts.
  double wait_share = 0;
  // Whether targets that other gateways avoid are accepted, too.
  bool accepts_avoided = false;
};

// The targets of one service as seen by one gateway: which are usable, how
// healthy they are, and how many of their slots are in usage. Other gateways
// report their evidence and slot usage. Not thread-safe.
class TargetPool {
 public:
  // `floor_share` is the minimum share of the usable targets that are never
  // excluded for poor health, 0 to 1.
  TargetPool(Random random, double floor_share);
  // Copies would refer to the targets of the original.
  TargetPool(const TargetPool&) = delete;
  auto operator=(const TargetPool&) -> TargetPool& = delete;
  TargetPool(TargetPool&&) = default;
  auto operator=(TargetPool&&) -> TargetPool& = default;
  ~TargetPool() = default;

  // Sets the registered targets of the service. Targets that are leaving get no
  // new requests. Targets that stay keep their state. `gateways` share the
  // targets and include `self` if it owns some; this gateway owns all targets
  // if there are none.
  auto Configure(const std::vector<RegisteredTarget>& targets,
                 const FailureDomainId& own_domain,
                 TimePoint now,
                 const VmId& self = {},
                 const std::vector<PoolGateway>& gateways = {}) -> void;

  // Returns the best owned target with a free slot, or else one of another
  // gateway; nothing if there is none or the request should wait for a
  // healthier one.
  auto Choose(const TargetRequirements& requirements, TimePoint now)
      -> std::optional<TargetId>;

  // An attempt on `target` started or ended. `evidence` is unset if the attempt
  // says nothing about the target.
  auto OnStarted(const TargetId& target, TimePoint now) -> void;
  auto OnEnded(const TargetId& target,
               std::optional<Evidence> evidence,
               TimePoint now) -> void;
  // An attempt on `target` got an answer, and OnEnded follows. `run_time` is
  // unset if the target did not do the work; `news` if the answer said nothing
  // about the target's load.
  auto OnAnswered(const TargetId& target,
                  std::optional<Duration> run_time,
                  const std::optional<LoadNews>& news,
                  bool was_shed) -> void;
  // A running attempt takes much longer than expected.
  auto OnOverdue(const TargetId& target, TimePoint now) -> void;
  // The target shed a request; it gets none for a short time.
  auto OnShed(const TargetId& target, TimePoint now) -> void;
  // The target said that it leaves. This start of it gets no more requests,
  // whatever the registry says.
  auto OnLeaving(const TargetId& target) -> void;
  // The target asked for a rest: it gets no requests for that long.
  auto OnRest(const TargetId& target, Duration rest, TimePoint now) -> void;
  // A different process answers at the target's address. The target is unusable
  // until it registers again.
  auto OnReplaced(const TargetId& target) -> void;
  // Returns whether the last Choose returned an unhealthy target only to keep
  // the floor.
  [[nodiscard]] auto IsTrial() const -> bool { return is_trial_; }
  // A request ended. `served` tells whether the caller got a successful answer,
  // or failed in a trial.
  auto OnRequestEnded(bool served, TimePoint now) -> void;
  // The process resumed after a pause, so the slot usage reported by peers is
  // outdated.
  auto OnResumed() -> void;

  // Applies the outcomes reported by the gateway `peer`. All outcomes count,
  // but the slots in use only if no report with a higher `sequence` arrived
  // before.
  auto OnPeerReport(const VmId& peer,
                    const std::vector<TargetOutcomes>& outcomes,
                    TimePoint now,
                    std::uint64_t sequence = 0) -> void;

  // Adds the requests that ended at another gateway.
  auto OnPeerRequests(const RequestCounts& requests, TimePoint now) -> void;

  // Returns the requests that ended since the last call, for the report to the
  // other gateways.
  auto TakeUnreportedRequests() -> RequestCounts;

  // Returns the outcomes since the last call, for the report to the other
  // gateways: all of them, or those that cannot wait.
  auto TakeUnreportedOutcomes(TimePoint now, bool only_urgent = false)
      -> std::vector<TargetOutcomes>;
  // Whether an outcome is unreported that changes what other gateways do.
  [[nodiscard]] auto has_urgent() const -> bool { return has_urgent_; }
  // Returns whether an unreported outcome is other than a success of a target
  // that looked healthy.
  [[nodiscard]] auto has_unexpected() const -> bool { return has_unexpected_; }
  [[nodiscard]] auto has_unreported() const -> bool { return has_unreported_; }

  // Number of targets that this gateway owns.
  [[nodiscard]] auto owned_count() const -> std::size_t {
    return owned_.size();
  }
  // Returns whether any target accepts requests.
  [[nodiscard]] auto HasUsable() const -> bool;
  // Returns when the first of the targets that are not in `tried` accepts
  // requests: `now` unless all of them rest. Nothing if there is none.
  [[nodiscard]] auto OpensAt(const std::vector<TargetId>& tried,
                             TimePoint now) const -> std::optional<TimePoint>;
  // Returns the number of registered targets with the given availability.
  [[nodiscard]] auto CountOf(Availability availability, TimePoint now) const
      -> std::size_t;
  // Targets that accept requests now: all of them, and those that look healthy
  // enough to get one at once.
  struct OpenTargets {
    std::size_t open = 0;
    std::uint32_t open_slots = 0;
    std::size_t usable = 0;
    std::uint32_t usable_slots = 0;
  };
  // Returns how long a request with this objective waits at most for a healthy
  // target before it goes to any that is open.
  [[nodiscard]] static auto MaxWaitForHealthy(Duration objective) -> Duration;
  [[nodiscard]] auto CountOpen(TimePoint now) const -> OpenTargets;
  // Returns when the last outcome of a request to any of the targets became
  // known; nothing if none has.
  [[nodiscard]] auto last_evidence() const -> std::optional<TimePoint> {
    return last_evidence_;
  }
  [[nodiscard]] auto load_counters() const -> const LoadCounters& {
    return load_counters_;
  }
  // Returns the mean age of the targets' last statements of their load, and
  // zero if there is none.
  [[nodiscard]] auto MeanNewsAge(TimePoint now) const -> Duration;
  // Returns the probability that `target` is unhealthy; 1 for an unknown
  // target.
  [[nodiscard]] auto UnhealthyProbability(const TargetId& target,
                                          TimePoint now) const -> double;

 private:
  static constexpr double kRunTimeWeight = 0.05;
  static constexpr std::size_t kRecentOthers = 16;

  struct PeerUsage {
    std::uint32_t in_flight = 0;
    TimePoint reported_at;
  };
  struct TargetState {
    RegisteredTarget spec;
    bool owned = true;
    TargetHealthEstimator health;
    LoadEstimate load;
    std::uint32_t in_flight = 0;
    std::map<VmId, PeerUsage> peers;
    TimePoint registered;
    // Last time when any gateway used the target, and the last failure.
    std::optional<TimePoint> last_used;
    // Time after `last_used` when the target counts as idle; random each time.
    Duration max_idle = Duration::zero();
    std::optional<TimePoint> last_failed;
    TimePoint blocked_until = TimePoint::min();
    bool replaced = false;
    TargetAvailability availability;
    // Outcomes that are not yet reported to the other gateways.
    TargetOutcomes unreported;
    bool has_unreported = false;
    // Whether the other gateways need these outcomes soon.
    bool is_urgent = false;
    TimePoint last_reported;
  };
  struct Candidate {
    TargetState* state = nullptr;
    double unhealthy = 0;
    double cost = 0;
    double placement_cost = 0;
  };

  // Targets that other gateways own.
  struct OtherTargets {
    std::vector<TargetState*> all;
    // Those whose successful answers stated their load last. In a large service
    // a draw rarely finds a target with recent news.
    RecentList<TargetState> recent{kRecentOthers};
  };

  struct FloorTrial {
    TargetId target;
    // Whether fewer targets than the floor share are in use without it.
    bool is_required = false;
  };

  // Returns the targets of others in the same part of the fleet, the own
  // failure domain or elsewhere.
  auto OthersLike(const TargetState& state) -> OtherTargets&;
  // Returns whether the target is neither leaving nor replaced.
  [[nodiscard]] static auto IsUsable(const TargetState& state) -> bool;
  // Returns whether it is usable and does not rest.
  [[nodiscard]] static auto IsAwake(const TargetState& state, TimePoint now)
      -> bool;
  // Returns whether what the target or other gateways said allows a request.
  [[nodiscard]] static auto AllowsRequest(
      const TargetState& state,
      const TargetRequirements& requirements,
      TimePoint now) -> bool;
  // Returns the expected number of requests of all gateways at the target. The
  // part of the others moves to at most `max_average` without news.
  [[nodiscard]] auto ExpectedLoad(const TargetState& state,
                                  double max_average,
                                  TimePoint now) const -> double;
  [[nodiscard]] auto ExpectedLoad(const TargetState& state, TimePoint now) const
      -> double;
  // Returns how many requests of other gateways a target with as many slots
  // usually has.
  [[nodiscard]] auto UsualOthers(const TargetState& state) const -> double;
  // Returns how long one more request is expected to wait at the target, in
  // average run times of the service.
  [[nodiscard]] auto ExpectedWait(const TargetState& state, TimePoint now) const
      -> double;
  // Returns what the target can do at a time: its slots, times its speed over
  // that of the service.
  [[nodiscard]] auto CapacityOf(const TargetState& state) const -> double;
  // Returns the highest unhealthy probability at which a target gets requests
  // immediately.
  [[nodiscard]] auto MaxUnhealthyProbability(TimePoint now) const -> double;
  [[nodiscard]] auto EstimateCost(const TargetState& state,
                                  const TargetRequirements& requirements,
                                  TimePoint now) const -> double;
  // Returns the part of the cost that does not depend on the target's health.
  [[nodiscard]] auto EstimatePlacementCost(
      const TargetState& state,
      const TargetRequirements& requirements,
      TimePoint now) const -> double;
  // Returns the share of failures in kFailureWindow; 0 for too few samples.
  [[nodiscard]] static auto FailureShare(const RateWindow& window,
                                         TimePoint now) -> double;
  // Returns a target that must get a request now to keep the floor of the
  // service, or null. Unless many requests fail, new targets and those that
  // look unhealthy are ignored.
  auto FindIdleTarget(const TargetRequirements& requirements,
                      double failure_share,
                      TimePoint now) -> TargetState*;
  // Returns whether an idle target that is unhealthy with this probability may
  // get the request although no other fails.
  [[nodiscard]] auto MayHaveRecovered(
      double unhealthy,
      const TargetRequirements& requirements) const -> bool;
  // Returns the target that must get this request for the floor of the service,
  // or null.
  auto FindFloorTrial(const TargetRequirements& requirements,
                      double failure_share,
                      TimePoint now) -> TargetState*;
  // Finds the idle targets that get a request whether or not others fail: those
  // that may have recovered, and as many as must be used for the floor share of
  // the service's targets.
  auto UpdateFloorTrials(TimePoint now) -> void;
  auto FindUntested(const std::vector<Candidate>& candidates,
                    const TargetRequirements& requirements,
                    TimePoint now) -> TargetState*;
  // Returns whether `state` has a free slot for the request now.
  [[nodiscard]] auto HasRoom(const TargetState& state,
                             const TargetRequirements& requirements,
                             TimePoint now) const -> bool;
  auto ChooseAny(const TargetRequirements& requirements, TimePoint now)
      -> std::optional<TargetId>;
  auto ChooseOwned(const TargetRequirements& requirements,
                   double limit,
                   bool many_fail,
                   double failure_share,
                   TimePoint now) -> TargetState*;
  // Returns the cheapest of a few targets of other gateways, or a null state.
  auto ChooseOther(const TargetRequirements& requirements,
                   double limit,
                   TimePoint now) -> Candidate;
  // Returns a target of another gateway that is probably healthy and much less
  // loaded than `owned`, or null.
  auto FindLessLoaded(const TargetState& owned,
                      const TargetRequirements& requirements,
                      TimePoint now) -> TargetState*;
  // Replaces `best` if `state` may get the request and is cheaper. Returns
  // whether it may.
  auto Consider(TargetState& state,
                const TargetRequirements& requirements,
                double limit,
                TimePoint now,
                Candidate& best) -> bool;
  // Replaces `best` if one of `others` is cheaper: of those with recent news
  // and a few drawn at random.
  auto DrawCheapest(const OtherTargets& others,
                    const TargetRequirements& requirements,
                    double limit,
                    TimePoint now,
                    Candidate& best) -> void;
  auto RecordEvidence(TargetState& state, Evidence evidence, TimePoint now)
      -> void;
  auto RecordUse(TargetState& state, TimePoint now) -> void;
  auto MarkUnreported(TargetState& state) -> void;
  auto MarkUrgent(TargetState& state) -> void;

  Random random_;
  double floor_share_;
  FailureDomainId own_domain_;
  std::map<TargetId, TargetState> targets_;
  ReportOrder report_order_;
  // The targets that this gateway owns and those of others in its failure
  // domain and elsewhere, in targets_.
  std::vector<TargetState*> owned_;
  OtherTargets near_others_;
  OtherTargets far_others_;
  // Average run time of the answered requests; zero if there is none.
  RunTimeAverage run_time_{kRunTimeWeight};
  // Average number of other gateways' requests for each slot of a target that
  // stated its load.
  double others_per_slot_ = 0;
  LoadCounters load_counters_;
  // Idle targets that get a request for the floor, the likeliest to be healthy
  // first, and when they were found.
  std::vector<FloorTrial> floor_trials_;
  std::optional<TimePoint> floor_checked_;
  // Attempts and requests of all gateways.
  RateWindow outcomes_;
  RateWindow requests_;
  std::optional<TimePoint> last_evidence_;
  // Ended requests that are not yet reported to the other gateways.
  RequestCounts unreported_requests_;
  // Start times of the targets that said that they leave. Kept while they are
  // missing in the registry, where the same start may appear again.
  std::map<TargetId, std::int64_t> announced_leaving_;
  bool is_trial_ = false;
  // Number of once-only requests that may now go to targets that look unhealthy
  // while few requests fail; at most 1.
  double once_trials_ = 1;
  bool has_unreported_ = false;
  bool has_urgent_ = false;
  bool has_unexpected_ = false;
  // Whether other gateways own targets.
  bool has_other_owners_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_TARGET_POOL_H_
