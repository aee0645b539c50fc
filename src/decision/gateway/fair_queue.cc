#include "decision/gateway/fair_queue.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

// Each kind of requests is to be served at least a quarter as often as all. The
// guarantee is a fifth higher, since some of the requests that start fail.
constexpr double kGuaranteedShare = 0.3;
// Time after which a recent event counts 1/e.
constexpr Duration kRecent = std::chrono::seconds(4);
// Interval at which the flows with recent starts are counted. All flows are
// looked at, so it must not happen for each request.
constexpr Duration kCountPeriod = std::chrono::milliseconds(200);
// Earned starts that are kept at most. They are used at once while slots get
// free, and must not delay other requests after a time without any.
constexpr double kMaxEarned = 3;

auto IsIn(const std::vector<RequestId>& requests, RequestId request) -> bool {
  return std::find(requests.begin(), requests.end(), request) != requests.end();
}

auto PriorityOf(const FairQueue::FlowId& flow) -> std::uint32_t {
  return std::get<0>(flow);
}

}  // namespace

auto FairQueue::RecentCount::Add(TimePoint now) -> void {
  value = At(now) + 1;
  updated = now;
}

auto FairQueue::RecentCount::At(TimePoint now) const -> double {
  return value == 0
             ? 0
             : value * std::exp(-ToSeconds(now - updated) / ToSeconds(kRecent));
}

auto FairQueue::FlowOf(const FlowId& id) -> Flow& {
  auto& flow = flows_[id];
  flow.id = id;
  return flow;
}

auto FairQueue::OnArrived(const FlowId& flow, TimePoint now) -> void {
  now_ = now;
  Prune();
  CountRecentFlows();
  arrivals_.Add(now);
  const auto earned = kGuaranteedShare * ServedShare();
  for (auto* kind : {&levels_[PriorityOf(flow)].kind, &FlowOf(flow).kind}) {
    kind->arrivals.Add(now);
    kind->earned = std::min(kind->earned + earned, kMaxEarned);
  }
}

auto FairQueue::OnStarted(const FlowId& flow, bool is_first, TimePoint now)
    -> void {
  now_ = now;
  auto& level = levels_[PriorityOf(flow)];
  auto& started = FlowOf(flow);
  // A start by the guarantee is a turn of the flow, but not of the others.
  level.turn = std::max(
      level.turn,
      level.active.empty()
          ? started.turn
          : std::min(started.turn, std::get<0>(*level.active.begin())));
  Deactivate(started);
  started.turn = std::max(started.turn, level.turn) + 1;
  Activate(started);
  if (!is_first) {
    return;
  }
  starts_.Add(now);
  level.starts.Add(now);
  started.starts.Add(now);
  for (auto* kind : {&level.kind, &started.kind}) {
    kind->earned = std::max(kind->earned - 1, 0.0);
  }
}

auto FairQueue::Insert(RequestId request,
                       const FlowId& flow,
                       TimePoint deadline) -> void {
  auto& joined = FlowOf(flow);
  auto& level = levels_[PriorityOf(flow)];
  Deactivate(joined);
  if (joined.waiting.empty()) {
    // Turns that it left out while it had no requests are lost.
    joined.turn = std::max(joined.turn, level.turn);
  }
  joined.waiting.emplace(deadline, request);
  Activate(joined);
  ++level.waiting;
  waiting_.emplace(request, Waiting{&joined, deadline});
}

auto FairQueue::Erase(RequestId request) -> void {
  const auto found = waiting_.find(request);
  if (found == waiting_.end()) {
    return;
  }
  auto& flow = *found->second.flow;
  Deactivate(flow);
  flow.waiting.erase({found->second.deadline, request});
  Activate(flow);
  --levels_[PriorityOf(flow.id)].waiting;
  waiting_.erase(found);
}

auto FairQueue::Deactivate(Flow& flow) -> void {
  if (!flow.waiting.empty()) {
    const auto& [deadline, request] = *flow.waiting.begin();
    levels_[PriorityOf(flow.id)].active.erase(
        {flow.turn, deadline, request, &flow});
  }
}

auto FairQueue::Activate(Flow& flow) -> void {
  if (!flow.waiting.empty()) {
    const auto& [deadline, request] = *flow.waiting.begin();
    levels_[PriorityOf(flow.id)].active.emplace(flow.turn, deadline, request,
                                                &flow);
  }
}

auto FairQueue::Prune() -> void {
  if (flows_.size() <= kMaxIdleFlows + waiting_.size()) {
    return;
  }
  std::erase_if(flows_,
                [](const auto& each) { return each.second.waiting.empty(); });
  std::erase_if(levels_, [&](const auto& each) {
    return each.second.waiting == 0 && each.second.kind.arrivals.At(now_) < 1;
  });
}

auto FairQueue::CountByPriority() const
    -> std::map<std::uint32_t, std::size_t> {
  std::map<std::uint32_t, std::size_t> counts;
  for (const auto& [priority, level] : levels_) {
    if (level.waiting > 0) {
      counts[priority] = level.waiting;
    }
  }
  return counts;
}

auto FairQueue::CountRecentFlows() -> void {
  if (now_ - counted_flows_ < kCountPeriod) {
    return;
  }
  counted_flows_ = now_;
  for (auto& [priority, level] : levels_) {
    level.recent_flows = 0;
  }
  for (const auto& [id, flow] : flows_) {
    const auto& starts = flow.starts;
    if (starts.value > 0 && now_ - starts.updated < kRecent) {
      ++levels_[PriorityOf(id)].recent_flows;
    }
  }
}

auto FairQueue::ShareOf(const Level& level, const Flow& flow) const -> double {
  const auto flows =
      std::max<std::size_t>({1, level.recent_flows, level.active.size()});
  const auto equal = 1 / static_cast<double>(flows);
  const auto starts = level.starts.At(now_);
  return starts <= 0 ? equal
                     : std::clamp(flow.starts.At(now_) / starts, equal, 1.0);
}

auto FairQueue::ServedShare() const -> double {
  return std::min(1.0, (starts_.At(now_) + 1) / (arrivals_.At(now_) + 1));
}

auto FairQueue::Next(const std::vector<RequestId>& skipped) const
    -> std::optional<RequestId> {
  std::optional<RequestId> next;
  double most_earned = 1;
  for (const auto& [priority, level] : levels_) {
    if (level.waiting == 0) {
      continue;
    }
    if (level.kind.earned >= most_earned) {
      if (const auto request = NextOf(level, skipped)) {
        next = request;
        most_earned = level.kind.earned;
      }
    }
    for (const auto& each : level.active) {
      const auto& flow = *std::get<const Flow*>(each);
      if (flow.kind.earned > most_earned) {
        if (const auto request = NextOf(flow, skipped)) {
          next = request;
          most_earned = flow.kind.earned;
        }
      }
    }
  }
  for (auto level = levels_.begin(); level != levels_.end() && !next; ++level) {
    next = NextOf(level->second, skipped);
  }
  return next;
}

auto FairQueue::NextOf(const Level& level,
                       const std::vector<RequestId>& skipped)
    -> std::optional<RequestId> {
  // A flow whose first requests are skipped has a later turn. Few are skipped,
  // so the best of the next turns is found after few flows.
  std::optional<std::tuple<std::uint64_t, TimePoint, RequestId>> best;
  for (const auto& [turn, deadline, request, flow] : level.active) {
    if (best && std::tuple(turn, deadline, request) > *best) {
      break;
    }
    auto later = turn;
    for (const auto& [each_deadline, each] : flow->waiting) {
      if (!IsIn(skipped, each)) {
        const std::tuple candidate(later, each_deadline, each);
        best = best ? std::min(*best, candidate) : candidate;
        break;
      }
      ++later;
    }
  }
  return best ? std::optional(std::get<RequestId>(*best)) : std::nullopt;
}

auto FairQueue::NextOf(const Flow& flow, const std::vector<RequestId>& skipped)
    -> std::optional<RequestId> {
  for (const auto& [deadline, request] : flow.waiting) {
    if (!IsIn(skipped, request)) {
      return request;
    }
  }
  return std::nullopt;
}

auto FairQueue::GuaranteedWait(const Kind& kind, std::size_t ahead) const
    -> std::optional<Duration> {
  const auto missing = static_cast<double>(ahead) + 1 - kind.earned;
  if (missing <= 0) {
    return Duration::zero();
  }
  const auto rate = kGuaranteedShare * ServedShare() * kind.arrivals.At(now_) /
                    ToSeconds(kRecent);
  constexpr double kMaxSeconds = 3600;
  if (rate * kMaxSeconds <= missing) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(missing / rate));
}

auto FairQueue::MakePlace(const Level& level,
                          const Flow& flow,
                          std::size_t urgent,
                          std::size_t level_ahead,
                          std::size_t flow_ahead) const -> Place {
  const auto own_turns = static_cast<double>(flow_ahead) / ShareOf(level, flow);
  const auto ahead =
      urgent + std::max(level_ahead, static_cast<std::size_t>(own_turns));
  const auto by_level = GuaranteedWait(level.kind, level_ahead);
  const auto by_flow = GuaranteedWait(flow.kind, flow_ahead);
  if (!by_level || !by_flow) {
    return {ahead, by_level ? by_level : by_flow};
  }
  return {ahead, std::min(*by_level, *by_flow)};
}

auto FairQueue::PlaceOf(RequestId request,
                        const FlowId& id,
                        TimePoint deadline) const -> Place {
  static const Flow no_flow{};
  static const Level no_level{};
  const auto found_flow = flows_.find(id);
  const auto found_level = levels_.find(PriorityOf(id));
  const auto& flow = found_flow == flows_.end() ? no_flow : found_flow->second;
  const auto& level =
      found_level == levels_.end() ? no_level : found_level->second;
  const auto flow_ahead = static_cast<std::uint64_t>(std::distance(
      flow.waiting.begin(), flow.waiting.lower_bound({deadline, request})));
  const auto first =
      flow.waiting.empty() ? std::max(flow.turn, level.turn) : flow.turn;
  const auto turn = first + flow_ahead;
  auto level_ahead = flow_ahead;
  for (const auto& each : level.active) {
    const auto* other = std::get<const Flow*>(each);
    if (other != &flow && other->turn <= turn) {
      // Of two requests with the same turn, either may be first.
      level_ahead += std::min<std::uint64_t>(turn - other->turn + 1,
                                             other->waiting.size());
    }
  }
  std::size_t urgent = 0;
  for (const auto& [priority, before] : levels_) {
    urgent += priority < PriorityOf(id) ? before.waiting : 0;
  }
  return MakePlace(level, flow, urgent, level_ahead, flow_ahead);
}

auto FairQueue::Visit(
    const std::function<bool(RequestId, const Place&)>& keep) const -> void {
  struct Cursor {
    const Flow* flow = nullptr;
    std::set<std::pair<TimePoint, RequestId>>::const_iterator next;
    std::size_t kept = 0;
  };
  std::size_t urgent = 0;
  for (const auto& [priority, level] : levels_) {
    std::size_t level_ahead = 0;
    std::map<std::tuple<std::uint64_t, TimePoint, RequestId>, Cursor> turns;
    for (const auto& [turn, deadline, request, flow] : level.active) {
      turns.emplace_hint(turns.end(), std::tuple(turn, deadline, request),
                         Cursor{flow, flow->waiting.begin(), 0});
    }
    while (!turns.empty()) {
      const auto node = turns.extract(turns.begin());
      const auto [turn, deadline, request] = node.key();
      auto cursor = node.mapped();
      if (keep(request, MakePlace(level, *cursor.flow, urgent, level_ahead,
                                  cursor.kept))) {
        ++level_ahead;
        ++cursor.kept;
      }
      ++cursor.next;
      if (cursor.next != cursor.flow->waiting.end()) {
        turns.emplace(
            std::tuple(turn + 1, cursor.next->first, cursor.next->second),
            cursor);
      }
    }
    urgent += level_ahead;
  }
}

auto FairQueue::GuaranteedAfter(std::uint32_t priority) const -> double {
  double arrivals = 0;
  for (auto level = levels_.upper_bound(priority); level != levels_.end();
       ++level) {
    if (level->second.waiting > 0) {
      arrivals += level->second.kind.arrivals.At(now_);
    }
  }
  return arrivals <= 0 ? 0
                       : kGuaranteedShare * arrivals /
                             std::max(arrivals_.At(now_), arrivals);
}

}  // namespace flamingoyoke
