#include "bench/dispatcher_run.h"

#include <algorithm>
#include <string>
#include <utility>

#include "wire/peer_codec.h"

namespace flamingoyoke {
namespace {

// How long a target takes to say that its slots are all in use.
constexpr Duration kShedDelay = std::chrono::milliseconds(1);

auto TargetName(std::size_t index) -> TargetId {
  return TargetId("10.20.1." + std::to_string(100 + index) + ":8080");
}

auto TargetIndex(const TargetId& target) -> std::size_t {
  return std::stoul(target.value().substr(8)) - 100;
}

}  // namespace

DispatcherRun::DispatcherRun(const DispatcherRunOptions& options)
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

auto DispatcherRun::Configure() -> void {
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
      if (i == node || options_.loans) {
        configured.home.push_back(nodes_[i].id);
      }
    }
    for (std::size_t i = node; i < options_.targets; i += nodes_.size()) {
      configured.owned.push_back(TargetName(i));
    }
    Deliver(node, configured);
  }
}

auto DispatcherRun::Run(const std::vector<Arrival>& arrivals) -> RunResult {
  arrivals_ = &arrivals;
  Configure();
  if (!arrivals.empty()) {
    queue_.Push(arrivals.front().at, ArrivalDue{0});
  }
  const auto end = arrivals.back().at + options_.deadline;
  while (!queue_.empty() && queue_.NextTime() <= end) {
    now_ = queue_.NextTime();
    std::visit([this](const auto& due) { Handle(due); }, queue_.Pop());
  }
  return std::move(result_);
}

auto DispatcherRun::Handle(const ArrivalDue& due) -> void {
  const auto& arrival = (*arrivals_)[due.index];
  if (due.index + 1 < arrivals_->size()) {
    queue_.Push((*arrivals_)[due.index + 1].at, ArrivalDue{due.index + 1});
  }
  RequestArrived arrived;
  arrived.request = RequestId(due.index);
  arrived.work_class = arrival.work_class;
  arrived.repeatable = true;
  arrived.deadline = arrival.at + options_.deadline;
  Deliver(arrival.choice % nodes_.size(), arrived);
}

auto DispatcherRun::Handle(const AttemptDue& due) -> void {
  auto& node = nodes_[due.node];
  const auto entry = node.attempts.find(due.attempt);
  if (entry == node.attempts.end()) {
    return;
  }
  const auto& arrival = (*arrivals_)[entry->second];
  node.attempts.erase(entry);
  if (!due.shed) {
    --busy_[due.target];
    if (arrival.at >= kBenchStart + options_.warm_up) {
      result_.AddAnswer(arrival.work_class, arrival.at, now_,
                        arrival.at + options_.deadline);
    }
  }
  Deliver(due.node,
          AttemptFinished{due.attempt, due.shed ? AttemptResult::kShed
                                                : AttemptResult::kAnswered});
}

auto DispatcherRun::Handle(const MessageDue& due) -> void {
  Deliver(due.node, DispatchPeerMessage{nodes_[due.sender].id, due.message});
}

auto DispatcherRun::Handle(const TimerDue& due) -> void {
  auto& node = nodes_[due.node];
  if (node.wake != due.at) {
    return;
  }
  node.wake = TimePoint::max();
  Deliver(due.node, DispatchTimer{});
}

auto DispatcherRun::Deliver(std::size_t node, const DispatchEvent& event)
    -> void {
  for (const auto& action : nodes_[node].dispatcher.OnEvent(event, now_)) {
    std::visit([&](const auto& typed) { Apply(node, typed); }, action);
  }
}

auto DispatcherRun::Apply(std::size_t node, const StartAttempt& action)
    -> void {
  const auto target = TargetIndex(action.target);
  nodes_[node].attempts.emplace(action.attempt, action.request.value());
  if (busy_[target] >= options_.slots) {
    ++result_.upstream_sheds;
    queue_.Push(now_ + kShedDelay,
                AttemptDue{node, action.attempt, target, true});
    return;
  }
  ++busy_[target];
  queue_.Push(now_ + (*arrivals_)[action.request.value()].service,
              AttemptDue{node, action.attempt, target, false});
}

auto DispatcherRun::Apply(std::size_t node, const CancelAttempt& action)
    -> void {
  // The target goes on; what it answers comes too late.
  const auto entry = nodes_[node].attempts.find(action.attempt);
  const auto& arrival = (*arrivals_)[entry->second];
  if (arrival.at >= kBenchStart + options_.warm_up) {
    result_.AddFailure();
  }
}

auto DispatcherRun::Apply(std::size_t /*node*/, const FailRequest& action)
    -> void {
  if ((*arrivals_)[action.request.value()].at >=
      kBenchStart + options_.warm_up) {
    result_.AddFailure();
  }
}

auto DispatcherRun::Apply(std::size_t node, const SendToPeer& action) -> void {
  const auto peer = std::find_if(
      nodes_.begin(), nodes_.end(),
      [&](const Node& candidate) { return candidate.id == action.peer; });
  ++result_.messages;
  ++result_.kinds[action.message.index()];
  result_.bytes += EncodeEnvelope(PeerEnvelope{nodes_[node].id, Incarnation(1),
                                               action.message})
                       .size();
  queue_.Push(now_ + options_.one_way,
              MessageDue{static_cast<std::size_t>(peer - nodes_.begin()), node,
                         action.message});
}

auto DispatcherRun::Apply(std::size_t node, const WakeDispatcherAt& action)
    -> void {
  nodes_[node].wake = action.at;
  queue_.Push(action.at, TimerDue{node, action.at});
}

}  // namespace flamingoyoke
