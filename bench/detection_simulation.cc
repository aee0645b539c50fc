#include "bench/detection_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

constexpr double kMeanServiceSeconds = 0.020;
constexpr Duration kProbeDuration = std::chrono::milliseconds(25);
constexpr Duration kConnectDuration = std::chrono::milliseconds(1);
// Probe timeout of the traffic task.
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
constexpr Duration kMembershipTimeout = std::chrono::milliseconds(1500);
// Share of attempts made from a random node, which borrows the slot from the
// owner.
constexpr double kBorrowedShare = 0.2;

auto SecondsToDuration(double seconds) -> Duration {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace

DetectionSimulation::DetectionSimulation(
    const DetectionSimulationOptions& options,
    std::uint64_t seed)
    : options_(options),
      random_(seed),
      now_(std::chrono::seconds(1000)),
      upstreams_(options.targets),
      owner_(options.targets),
      in_flight_(options.targets),
      arrival_number_(options.targets),
      path_cut_(options.nodes, std::vector<bool>(options.targets)),
      mesh_cut_(options.nodes, std::vector<bool>(options.nodes)),
      caller_faults_(options.nodes),
      ejections_(options.targets),
      probes_(options.targets),
      started_(options.targets),
      recent_probes_(options.targets) {
  for (std::size_t i = 0; i < options.targets; ++i) {
    ids_.emplace_back("10.0.0." + std::to_string(100 + i) + ":80");
    owner_[i] = i % options.nodes;
  }
  for (std::size_t i = 0; i < options.nodes; ++i) {
    auto& node = nodes_.emplace_back(random_.Next());
    node.shares.assign(options.targets, 1);
    node.states.assign(options.targets, TargetState::kHealthy);
    node.has_silent_connections.assign(options.targets, false);
    node.needs_new_connection.assign(options.targets, true);
    node.wake_at = TimePoint::max();
  }
  for (std::size_t i = 0; i < options.nodes; ++i) {
    Configure(i);
  }
  SetRate(options.rate);
}

auto DetectionSimulation::Run(TimePoint until) -> void {
  Run(until, [] { return false; });
}

auto DetectionSimulation::Run(TimePoint until,
                              const std::function<bool()>& stop) -> void {
  while (!queue_.empty() && queue_.top().at <= until) {
    const auto event = queue_.top();
    queue_.pop();
    now_ = event.at;
    Handle(event);
    if (stop()) {
      return;
    }
  }
  now_ = until;
}

auto DetectionSimulation::SetRate(double per_target) -> void {
  options_.rate = per_target;
  for (std::uint32_t i = 0; i < ids_.size(); ++i) {
    ++arrival_number_[i];
    Push({.at = now_ + SecondsToDuration(Exponential(1 / per_target)),
          .kind = EventKind::kArrival,
          .target = i,
          .number = arrival_number_[i]});
  }
}

auto DetectionSimulation::SilenceConnections(std::size_t node,
                                             std::size_t target) -> void {
  nodes_[node].has_silent_connections[target] = true;
}

auto DetectionSimulation::Pause(std::size_t node) -> void {
  nodes_[node].is_paused = true;
  Push({.at = now_ + kMembershipTimeout, .kind = EventKind::kRebalance});
}

auto DetectionSimulation::Resume(std::size_t node) -> void {
  nodes_[node].is_paused = false;
  Deliver(node, DetectionResumed{});
  for (const auto& event : std::exchange(nodes_[node].undelivered_events, {})) {
    Deliver(node, event);
  }
  Push({.at = now_ + kMembershipTimeout, .kind = EventKind::kRebalance});
}

auto DetectionSimulation::Drain(std::size_t node,
                                std::size_t target,
                                bool draining) -> void {
  Deliver(node, DrainSignalled{ids_[target], draining});
}

auto DetectionSimulation::IsUnused(std::size_t target) const -> bool {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return node.shares[target] <= 0;
  });
}

auto DetectionSimulation::TotalEjectionCount() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto count : ejections_) {
    sum += count;
  }
  return sum;
}

auto DetectionSimulation::Push(Event event) -> void {
  event.sequence = next_sequence_++;
  queue_.push(event);
}

auto DetectionSimulation::Deliver(std::size_t node, const DetectionEvent& event)
    -> void {
  if (nodes_[node].is_paused) {
    // Socket buffers hold what arrives while the process is paused.
    if (nodes_[node].undelivered_events.size() < 1000) {
      nodes_[node].undelivered_events.push_back(event);
    }
    return;
  }
  for (const auto& action : nodes_[node].detector.OnEvent(event, now_)) {
    ApplyAction(node, action);
  }
}

auto DetectionSimulation::ApplyAction(std::size_t node,
                                      const DetectionAction& action) -> void {
  std::visit(Overloaded{
                 [&](const StartProbe& probe) {
                   RunProbe(node, IndexOf(probe.target));
                 },
                 [&](const RetireConnections& retire) {
                   const auto target = IndexOf(retire.target);
                   nodes_[node].has_silent_connections[target] = false;
                   nodes_[node].needs_new_connection[target] = true;
                 },
                 [&](const SetTargetShare& share) { RecordShare(node, share); },
                 [&](const SendToPeer& send) {
                   SendMessage(node, std::stoul(send.peer.value().substr(3)),
                               send.message);
                 },
                 [&](const WakeDetectorAt& wake) {
                   nodes_[node].wake_at = wake.at;
                   Push({.at = std::max(wake.at, now_),
                         .kind = EventKind::kTimer,
                         .node = static_cast<std::uint32_t>(node)});
                 },
             },
             action);
}

auto DetectionSimulation::Handle(const Event& event) -> void {
  switch (event.kind) {
    case EventKind::kArrival:
      HandleArrival(event);
      return;
    case EventKind::kAttemptEnd:
      EndAttempt(event);
      return;
    case EventKind::kProbeEnd: {
      const auto& upstream = upstreams_[event.target];
      const bool passed = event.result == AttemptResult::kAnswered &&
                          !upstream.is_silent && !upstream.is_refusing &&
                          !path_cut_[event.node][event.target];
      Deliver(event.node, ProbeEnded{ids_[event.target], passed});
      return;
    }
    case EventKind::kMessage: {
      const auto in_transit = std::move(in_transit_messages_[event.number]);
      free_message_slots_.push_back(event.number);
      Deliver(event.node, DetectionPeerMessage{
                              VmId("vm-" + std::to_string(in_transit.from)),
                              in_transit.message});
      return;
    }
    case EventKind::kTimer:
      if (nodes_[event.node].wake_at == event.at) {
        Deliver(event.node, DetectionTimer{});
      }
      return;
    case EventKind::kReport:
      SendLoadReport(event.node);
      return;
    case EventKind::kRebalance:
      Rebalance();
      return;
  }
}

auto DetectionSimulation::HandleArrival(const Event& event) -> void {
  const auto target = event.target;
  if (event.number != arrival_number_[target]) {
    return;
  }
  Push({.at = now_ + SecondsToDuration(Exponential(1 / options_.rate)),
        .kind = EventKind::kArrival,
        .target = target,
        .number = event.number});
  const auto owner = owner_[target];
  const bool has_slot = in_flight_[target] + 1 <=
                        nodes_[owner].shares[target] * options_.slots + 1e-9;
  if (!has_slot) {
    return;
  }
  auto node = owner;
  if (random_.Unit() < kBorrowedShare) {
    node = random_.Below(nodes_.size());
  }
  if (!nodes_[node].is_paused && nodes_[node].shares[target] > 0) {
    StartAttempt(node, target);
  }
}

auto DetectionSimulation::StartAttempt(std::size_t node, std::size_t target)
    -> void {
  const auto& upstream = upstreams_[target];
  const bool is_fresh = nodes_[node].needs_new_connection[target];
  nodes_[node].needs_new_connection[target] = false;
  ++in_flight_[target];
  ++started_[target];
  Event end{.kind = EventKind::kAttemptEnd,
            .node = static_cast<std::uint32_t>(node),
            .target = static_cast<std::uint32_t>(target),
            .number = ++next_attempt_,
            .started = now_};
  Deliver(node, AttemptStarted{AttemptId(end.number), ids_[target], is_fresh});
  const auto service = SecondsToDuration(
      Exponential(kMeanServiceSeconds * upstream.slow_factor));
  const auto total = 2 * options_.one_way + service +
                     (is_fresh ? kConnectDuration : Duration(0));
  const bool fails = random_.Unit() < upstream.failure_rate ||
                     random_.Unit() < caller_faults_[node];
  const bool is_lost = upstream.is_silent || upstream.is_hanging ||
                       path_cut_[node][target] ||
                       nodes_[node].has_silent_connections[target];
  if (upstream.is_refusing) {
    end.at = now_ + 2 * options_.one_way;
    end.result = AttemptResult::kConnectFailed;
  } else if (is_lost || total >= kDeadline) {
    end.at = now_ + kDeadline;
    end.result = AttemptResult::kTimeout;
  } else {
    end.at = now_ + total;
    end.result = fails ? AttemptResult::kServerError : AttemptResult::kAnswered;
  }
  Push(end);
}

auto DetectionSimulation::EndAttempt(Event event) -> void {
  const auto& upstream = upstreams_[event.target];
  const bool is_answer = event.result == AttemptResult::kAnswered ||
                         event.result == AttemptResult::kServerError;
  if (is_answer &&
      (upstream.is_silent || path_cut_[event.node][event.target])) {
    // The fault began while the request was in flight, so the answer is lost.
    event.at = event.started + kDeadline;
    event.result = AttemptResult::kTimeout;
    Push(event);
    return;
  }
  if (is_answer && upstream.is_refusing) {
    event.result = AttemptResult::kReset;
  }
  --in_flight_[event.target];
  RecordOutcome(event.node, event.target,
                {AttemptId(event.number), ids_[event.target], event.result,
                 now_ - event.started});
}

auto DetectionSimulation::RecordOutcome(std::size_t node,
                                        std::size_t target,
                                        const AttemptEnded& ended) -> void {
  Deliver(node, ended);
  const bool answered = ended.result == AttemptResult::kAnswered;
  if (observer_) {
    observer_(target, !answered);
  }
  if (node != owner_[target]) {
    TargetOutcomes outcomes{.target = ids_[target]};
    outcomes.succeeded = answered ? 1 : 0;
    outcomes.failed = ended.result == AttemptResult::kServerError ? 1 : 0;
    outcomes.timed_out = 1 - outcomes.succeeded - outcomes.failed;
    SendMessage(node, owner_[target],
                OutcomeReport{ServiceId("service"), {outcomes}});
    return;
  }
  auto& sender = nodes_[node];
  ++(answered ? sender.succeeded : sender.failed);
  if (answered) {
    sender.latencies.push_back(ended.latency);
  }
  if (!sender.is_report_scheduled) {
    sender.is_report_scheduled = true;
    Push({.at = now_ + kReportInterval,
          .kind = EventKind::kReport,
          .node = static_cast<std::uint32_t>(node)});
  }
}

auto DetectionSimulation::RunProbe(std::size_t node, std::size_t target)
    -> void {
  const auto& upstream = upstreams_[target];
  ++probes_[target];
  auto& recent = recent_probes_[target];
  recent.push_back(now_);
  std::erase_if(recent, [&](const auto& at) {
    return now_ - at >= std::chrono::seconds(1);
  });
  max_probes_in_one_second_ =
      std::max<std::uint64_t>(max_probes_in_one_second_, recent.size());
  Event end{.kind = EventKind::kProbeEnd,
            .node = static_cast<std::uint32_t>(node),
            .target = static_cast<std::uint32_t>(target)};
  const auto duration =
      kConnectDuration + 2 * options_.one_way +
      SecondsToDuration(ToSeconds(kProbeDuration) * upstream.slow_factor);
  if (upstream.is_refusing) {
    end.at = now_ + 2 * options_.one_way;
    end.result = AttemptResult::kConnectFailed;
  } else if (upstream.is_silent || path_cut_[node][target] ||
             duration >= kProbeTimeout) {
    end.at = now_ + kProbeTimeout;
    end.result = AttemptResult::kTimeout;
  } else {
    end.at = now_ + duration;
  }
  Push(end);
}

auto DetectionSimulation::SendLoadReport(std::size_t node) -> void {
  auto& sender = nodes_[node];
  sender.is_report_scheduled = false;
  if (sender.is_paused) {
    return;
  }
  LoadReport report{.service = ServiceId("service")};
  report.succeeded = std::exchange(sender.succeeded, 0);
  report.failed = std::exchange(sender.failed, 0);
  auto& latencies = sender.latencies;
  if (!latencies.empty()) {
    std::sort(latencies.begin(), latencies.end());
    report.median_latency = latencies[latencies.size() / 2];
    report.p95_latency = latencies[latencies.size() * 95 / 100];
    latencies.clear();
  }
  for (std::size_t to = 0; to < nodes_.size(); ++to) {
    if (to != node) {
      SendMessage(node, to, report);
    }
  }
  // Keeps reporting while attempts are in flight.
  for (std::size_t target = 0; target < ids_.size(); ++target) {
    if (owner_[target] == node && in_flight_[target] > 0) {
      sender.is_report_scheduled = true;
      Push({.at = now_ + kReportInterval,
            .kind = EventKind::kReport,
            .node = static_cast<std::uint32_t>(node)});
      return;
    }
  }
}

auto DetectionSimulation::SendMessage(std::size_t from,
                                      std::size_t to,
                                      const PeerMessage& message) -> void {
  if (mesh_cut_[from][to]) {
    return;
  }
  int copies = random_.Unit() < loss_ ? 0 : 1;
  copies += random_.Unit() < duplication_ ? 1 : 0;
  for (; copies > 0; --copies) {
    std::size_t slot = in_transit_messages_.size();
    if (free_message_slots_.empty()) {
      in_transit_messages_.emplace_back();
    } else {
      slot = free_message_slots_.back();
      free_message_slots_.pop_back();
    }
    in_transit_messages_[slot] = {static_cast<std::uint32_t>(from), message};
    // A random extra delay lets later messages overtake this one.
    const double extra_delay = duplication_ > 0 ? Exponential(0.005) : 0;
    Push({.at = now_ + options_.one_way + SecondsToDuration(extra_delay),
          .kind = EventKind::kMessage,
          .node = static_cast<std::uint32_t>(to),
          .number = slot});
  }
}

auto DetectionSimulation::RecordShare(std::size_t node,
                                      const SetTargetShare& action) -> void {
  const auto target = IndexOf(action.target);
  auto& state = nodes_[node];
  const bool is_own = !action.reason.starts_with("notice");
  if (action.state == TargetState::kEjected && is_own &&
      state.states[target] != TargetState::kEjected) {
    ++ejections_[target];
    last_ejection_reason_ = action.reason;
  }
  state.shares[target] = action.share;
  state.states[target] = action.state;
  for (const auto& owned : state.detector.OwnedTargets()) {
    const auto index = IndexOf(owned);
    if (index == target) {
      owner_[index] = node;
    }
  }
}

auto DetectionSimulation::Configure(std::size_t node) -> void {
  DetectionConfigured event;
  event.row.service = ServiceId("service");
  event.row.slots = options_.slots;
  event.row.floor = options_.floor;
  event.row.deadline = kDeadline;
  for (std::size_t i = 0; i < ids_.size(); ++i) {
    TargetSpec spec;
    spec.id = ids_[i];
    spec.failure_domain = FailureDomainId(std::to_string(DomainOf(i)));
    event.row.targets.push_back(spec);
  }
  event.self = VmId("vm-" + std::to_string(node));
  std::vector<std::size_t> live;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].is_paused || i == node) {
      live.push_back(i);
      event.home.push_back({VmId("vm-" + std::to_string(i)),
                            FailureDomainId(std::to_string(i))});
    }
  }
  for (std::size_t i = 0; i < ids_.size(); ++i) {
    if (live[i % live.size()] == node) {
      event.owned.push_back(ids_[i]);
      owner_[i] = node;
    }
  }
  Deliver(node, event);
}

auto DetectionSimulation::Rebalance() -> void {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i].is_paused) {
      for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (other != i) {
          Deliver(other, DetectionPeerLost{VmId("vm-" + std::to_string(i))});
        }
      }
    } else {
      Configure(i);
    }
  }
}

auto DetectionSimulation::Exponential(double mean) -> double {
  return -mean * std::log(1 - random_.Unit());
}

auto DetectionSimulation::IndexOf(const TargetId& target) const -> std::size_t {
  return static_cast<std::size_t>(std::stoul(target.value().substr(7, 3))) -
         100;
}

}  // namespace flamingoyoke
