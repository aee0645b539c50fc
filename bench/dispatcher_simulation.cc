#include "bench/dispatcher_simulation.h"

#include <algorithm>
#include <string>
#include <utility>

#include "wire/peer_codec.h"

namespace flamingoyoke {
namespace {

// Time in which a target answers that all its slots are in use.
constexpr Duration kShedDelay = std::chrono::milliseconds(1);

auto TargetName(std::size_t index) -> TargetId {
  return TargetId("10.20.1." + std::to_string(100 + index) + ":8080");
}

auto TargetIndex(const TargetId& target) -> std::size_t {
  return std::stoul(target.value().substr(8)) - 100;
}

}  // namespace

DispatcherSimulation::DispatcherSimulation(
    const DispatcherSimulationOptions& options)
    : options_(options), busy_(options.targets) {
  for (std::size_t i = 0; i < options.members; ++i) {
    const Random random(options.seed * 1000 + i);
    nodes_.push_back({VmId("entry-" + std::to_string(10 + i)),
                      options.policy
                          ? ServiceDispatcher(random, *options.policy)
                          : ServiceDispatcher(random),
                      TimePoint::max(),
                      {}});
  }
}

auto DispatcherSimulation::Configure() -> void {
  ServiceRow row;
  row.service = ServiceId("stock-lookup");
  row.slots = options_.slots;
  row.long_share = options_.long_share;
  row.queue_limit = 100000;
  for (std::size_t i = 0; i < options_.targets; ++i) {
    TargetSpec spec;
    spec.id = TargetName(i);
    row.targets.push_back(spec);
  }
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    DispatchConfigured configured;
    configured.row = row;
    configured.self = nodes_[node].id;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (i == node || options_.lends_slots) {
        configured.home.push_back(nodes_[i].id);
      }
    }
    for (std::size_t i = node; i < options_.targets; i += nodes_.size()) {
      configured.owned.push_back(TargetName(i));
    }
    Deliver(node, configured);
  }
}

auto DispatcherSimulation::Run(const std::vector<Arrival>& arrivals)
    -> RunResult {
  arrivals_ = &arrivals;
  Configure();
  if (!arrivals.empty()) {
    queue_.Push(arrivals.front().at, ArrivalEvent{0});
  }
  const auto end = arrivals.back().at + options_.deadline;
  while (!queue_.empty() && queue_.NextTime() <= end) {
    now_ = queue_.NextTime();
    std::visit([this](const auto& event) { Handle(event); }, queue_.Pop());
  }
  return std::move(result_);
}

auto DispatcherSimulation::Handle(const ArrivalEvent& event) -> void {
  const auto& arrival = (*arrivals_)[event.index];
  if (event.index + 1 < arrivals_->size()) {
    queue_.Push((*arrivals_)[event.index + 1].at,
                ArrivalEvent{event.index + 1});
  }
  RequestArrived arrived;
  arrived.request = RequestId(event.index);
  arrived.work_class = arrival.work_class;
  arrived.repeatable = true;
  arrived.deadline = arrival.at + options_.deadline;
  Deliver(arrival.choice % nodes_.size(), arrived);
}

auto DispatcherSimulation::Handle(const AttemptEndEvent& event) -> void {
  auto& node = nodes_[event.node];
  const auto entry = node.attempts.find(event.attempt);
  if (entry == node.attempts.end()) {
    return;
  }
  const auto& arrival = (*arrivals_)[entry->second];
  node.attempts.erase(entry);
  if (!event.shed) {
    --busy_[event.target];
    if (arrival.at >= kSimulationStart + options_.warm_up) {
      result_.AddAnswer(arrival.work_class, arrival.at, now_,
                        arrival.at + options_.deadline);
    }
  }
  Deliver(event.node, AttemptFinished{event.attempt,
                                      event.shed ? AttemptResult::kShed
                                                 : AttemptResult::kAnswered});
}

auto DispatcherSimulation::Handle(const MessageEvent& event) -> void {
  Deliver(event.node,
          DispatchPeerMessage{nodes_[event.sender].id, event.message});
}

auto DispatcherSimulation::Handle(const TimerEvent& event) -> void {
  auto& node = nodes_[event.node];
  if (node.wake_at != event.at) {
    return;
  }
  node.wake_at = TimePoint::max();
  Deliver(event.node, DispatchTimer{});
}

auto DispatcherSimulation::Deliver(std::size_t node, const DispatchEvent& event)
    -> void {
  for (const auto& action : nodes_[node].dispatcher.OnEvent(event, now_)) {
    std::visit([&](const auto& typed) { Apply(node, typed); }, action);
  }
}

auto DispatcherSimulation::Apply(std::size_t node, const StartAttempt& action)
    -> void {
  const auto target = TargetIndex(action.target);
  nodes_[node].attempts.emplace(action.attempt, action.request.value());
  if (busy_[target] >= options_.slots) {
    ++result_.upstream_sheds;
    queue_.Push(now_ + kShedDelay,
                AttemptEndEvent{node, action.attempt, target, true});
    return;
  }
  ++busy_[target];
  queue_.Push(now_ + (*arrivals_)[action.request.value()].service,
              AttemptEndEvent{node, action.attempt, target, false});
}

auto DispatcherSimulation::Apply(std::size_t node, const CancelAttempt& action)
    -> void {
  // The target continues, but its answer arrives after the deadline.
  const auto entry = nodes_[node].attempts.find(action.attempt);
  const auto& arrival = (*arrivals_)[entry->second];
  if (arrival.at >= kSimulationStart + options_.warm_up) {
    result_.AddFailure();
  }
}

auto DispatcherSimulation::Apply(std::size_t /*node*/,
                                 const FailRequest& action) -> void {
  if ((*arrivals_)[action.request.value()].at >=
      kSimulationStart + options_.warm_up) {
    result_.AddFailure();
  }
}

auto DispatcherSimulation::Apply(std::size_t node, const SendToPeer& action)
    -> void {
  const auto peer = std::find_if(
      nodes_.begin(), nodes_.end(),
      [&](const Node& candidate) { return candidate.id == action.peer; });
  ++result_.messages;
  ++result_.messages_by_kind[action.message.index()];
  result_.bytes += EncodeEnvelope(PeerEnvelope{nodes_[node].id, Incarnation(1),
                                               action.message})
                       .size();
  queue_.Push(now_ + options_.one_way,
              MessageEvent{static_cast<std::size_t>(peer - nodes_.begin()),
                           node, action.message});
}

auto DispatcherSimulation::Apply(std::size_t node,
                                 const WakeDispatcherAt& action) -> void {
  nodes_[node].wake_at = action.at;
  queue_.Push(action.at, TimerEvent{node, action.at});
}

}  // namespace flamingoyoke
