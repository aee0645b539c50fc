#ifndef FLAMINGOYOKE_DECISION_GATEWAY_FAIR_QUEUE_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// The requests of a service that wait on one gateway for a slot, and the order
// in which they start.
//
// A flow is the requests of one team to one route with one priority. More
// urgent priorities go first, and the flows of a priority take turns
// (start-time fair queueing), so that a flow with many requests doesn't delay
// the others. Within a flow the earliest deadline goes first.
//
// Flows and priorities that would be served much less often than all requests
// have a guarantee: each of their arrivals earns a part of a start, and with a
// whole one earned their next request starts before all others. Requests that
// were refused earn as well; otherwise a kind that is always refused at once
// would never be served.
//
// Not thread-safe. Deterministic.
class FairQueue {
 public:
  // Priority (0 is the most urgent), team and route.
  using FlowId = std::tuple<std::uint32_t, TeamId, std::string>;

  struct Place {
    // Requests that start before, by turns: those that wait, and those of other
    // flows that are yet to come, by the recent starts.
    std::size_t ahead = 0;
    // Time after which the guarantee starts the request at the latest, by the
    // recent rates; unset if they are not known.
    std::optional<Duration> guaranteed;
  };

  // Flows of the requests in the queue are always kept. Of the others, at most
  // this many.
  static constexpr std::size_t kMaxIdleFlows = 2048;

  // Counts a request that arrived, whether it waits or not. Must be called once
  // for each, before the other functions. `now` must not decrease.
  auto OnArrived(const FlowId& flow, TimePoint now) -> void;
  // Counts an attempt that started. A request is served with its first one; a
  // further one only takes a turn of its flow.
  auto OnStarted(const FlowId& flow, bool is_first, TimePoint now) -> void;

  // The request must not be in the queue.
  auto Insert(RequestId request, const FlowId& flow, TimePoint deadline)
      -> void;
  // Removes a request; no effect if it is not in the queue.
  auto Erase(RequestId request) -> void;

  [[nodiscard]] auto Contains(RequestId request) const -> bool {
    return waiting_.contains(request);
  }
  [[nodiscard]] auto size() const -> std::size_t { return waiting_.size(); }
  [[nodiscard]] auto empty() const -> bool { return waiting_.empty(); }
  // Returns the number of flows that are kept.
  [[nodiscard]] auto flow_count() const -> std::size_t { return flows_.size(); }
  // Returns any of the requests. Must not be empty.
  [[nodiscard]] auto front() const -> RequestId {
    return waiting_.begin()->first;
  }
  // Returns the number of waiting requests of each priority that has some.
  [[nodiscard]] auto CountByPriority() const
      -> std::map<std::uint32_t, std::size_t>;

  // Returns the request that starts next, apart from those in `skipped`, which
  // must be few.
  [[nodiscard]] auto Next(const std::vector<RequestId>& skipped) const
      -> std::optional<RequestId>;

  // Returns the place of a request with this deadline, whether it is in the
  // queue or not.
  [[nodiscard]] auto PlaceOf(RequestId request,
                             const FlowId& flow,
                             TimePoint deadline) const -> Place;

  // Calls `keep` for each request by turns, with its place behind those for
  // which `keep` returned true.
  auto Visit(const std::function<bool(RequestId, const Place&)>& keep) const
      -> void;

  // Returns the share of the starts that the guarantee may give to waiting
  // requests less urgent than `priority`, 0 to 1.
  [[nodiscard]] auto GuaranteedAfter(std::uint32_t priority) const -> double;

 private:
  // A count that loses old events exponentially.
  struct RecentCount {
    double value = 0;
    TimePoint updated;

    auto Add(TimePoint now) -> void;
    [[nodiscard]] auto At(TimePoint now) const -> double;
  };
  // Flows and priorities are served as kinds of requests.
  struct Kind {
    RecentCount arrivals;
    // Guaranteed starts that were earned and not used.
    double earned = 0;
  };
  struct Flow {
    FlowId id;
    Kind kind;
    RecentCount starts;
    // Turn of the first waiting request; each further one is one later.
    std::uint64_t turn = 0;
    std::set<std::pair<TimePoint, RequestId>> waiting;
  };
  struct Level {
    Kind kind;
    RecentCount starts;
    // Flows that started a request lately.
    std::size_t recent_flows = 0;
    // Turn of the last request that started in its turn.
    std::uint64_t turn = 0;
    std::size_t waiting = 0;
    // Flows with waiting requests, by their next turn, its deadline and id.
    std::set<std::tuple<std::uint64_t, TimePoint, RequestId, const Flow*>>
        active;
  };
  struct Waiting {
    Flow* flow = nullptr;
    TimePoint deadline;
  };

  auto FlowOf(const FlowId& id) -> Flow&;
  // Must surround each change of the waiting requests or the turn of a flow.
  auto Deactivate(Flow& flow) -> void;
  auto Activate(Flow& flow) -> void;
  // Forgets the flows that have no waiting requests if there are many.
  auto Prune() -> void;
  auto CountRecentFlows() -> void;
  // Returns the share of the starts of its priority that the flow may expect.
  [[nodiscard]] auto ShareOf(const Level& level, const Flow& flow) const
      -> double;
  // Returns the share of the recent requests that started.
  [[nodiscard]] auto ServedShare() const -> double;
  // Returns the time until the guarantee has started `ahead` + 1 requests.
  [[nodiscard]] auto GuaranteedWait(const Kind& kind, std::size_t ahead) const
      -> std::optional<Duration>;
  // Returns the place behind `urgent` more urgent requests and `level_ahead` of
  // the same priority, of which `flow_ahead` are of the same flow.
  [[nodiscard]] auto MakePlace(const Level& level,
                               const Flow& flow,
                               std::size_t urgent,
                               std::size_t level_ahead,
                               std::size_t flow_ahead) const -> Place;
  [[nodiscard]] static auto NextOf(const Level& level,
                                   const std::vector<RequestId>& skipped)
      -> std::optional<RequestId>;
  [[nodiscard]] static auto NextOf(const Flow& flow,
                                   const std::vector<RequestId>& skipped)
      -> std::optional<RequestId>;

  TimePoint now_;
  TimePoint counted_flows_;
  RecentCount arrivals_;
  RecentCount starts_;
  std::map<FlowId, Flow> flows_;
  std::map<std::uint32_t, Level> levels_;
  std::unordered_map<RequestId, Waiting> waiting_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_FAIR_QUEUE_H_
