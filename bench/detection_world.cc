#include "bench/detection_world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

constexpr double kMeanServiceSeconds = 0.020;
constexpr Duration kProbeDuration = std::chrono::milliseconds(25);
constexpr Duration kConnect = std::chrono::milliseconds(1);
// The traffic task gives up a probe after this.
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr Duration kReportInterval = std::chrono::milliseconds(200);
constexpr Duration kMembershipTimeout = std::chrono::milliseconds(1500);
// Share of attempts that a borrower makes instead of the owner.
constexpr double kBorrowedShare = 0.2;

auto SecondsToDuration(double seconds) -> Duration {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace

DetectionWorld::DetectionWorld(const DetectionSetting& setting,
                               std::uint64_t seed)
    : setting_(setting),
      random_(seed),
      now_(std::chrono::seconds(1000)),
      upstreams_(setting.targets),
      owner_(setting.targets),
      in_flight_(setting.targets),
      arrival_number_(setting.targets),
      path_cut_(setting.nodes, std::vector<bool>(setting.targets)),
      mesh_cut_(setting.nodes, std::vector<bool>(setting.nodes)),
      caller_faults_(setting.nodes),
      ejections_(setting.targets),
      probes_(setting.targets),
      started_(setting.targets),
      recent_probes_(setting.targets) {
  for (std::size_t i = 0; i < setting.targets; ++i) {
    ids_.emplace_back("10.0.0." + std::to_string(100 + i) + ":80");
    owner_[i] = i % setting.nodes;
  }
  for (std::size_t i = 0; i < setting.nodes; ++i) {
    auto& node = nodes_.emplace_back(random_.Next());
    node.shares.assign(setting.targets, 1);
    node.states.assign(setting.targets, TargetState::kHealthy);
    node.has_silent_connections.assign(setting.targets, false);
    node.needs_fresh.assign(setting.targets, true);
    node.wake_at = TimePoint::max();
  }
  for (std::size_t i = 0; i < setting.nodes; ++i) {
    Configure(i);
  }
  SetRate(setting.rate);
}

auto DetectionWorld::Run(TimePoint until) -> void {
  Run(until, [] { return false; });
}

auto DetectionWorld::Run(TimePoint until, const std::function<bool()>& stop)
    -> void {
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

auto DetectionWorld::SetRate(double per_target) -> void {
  setting_.rate = per_target;
  for (std::uint32_t i = 0; i < ids_.size(); ++i) {
    ++arrival_number_[i];
    Push({.at = now_ + SecondsToDuration(Exponential(1 / per_target)),
          .kind = Kind::kArrival,
          .target = i,
          .number = arrival_number_[i]});
  }
}

auto DetectionWorld::SilenceConnections(std::size_t node, std::size_t target)
    -> void {
  nodes_[node].has_silent_connections[target] = true;
}

auto DetectionWorld::Pause(std::size_t node) -> void {
  nodes_[node].is_paused = true;
  Push({.at = now_ + kMembershipTimeout, .kind = Kind::kRebalance});
}

auto DetectionWorld::Resume(std::size_t node) -> void {
  nodes_[node].is_paused = false;
  Deliver(node, DetectionResumed{});
  for (const auto& event : std::exchange(nodes_[node].missed, {})) {
    Deliver(node, event);
  }
  Push({.at = now_ + kMembershipTimeout, .kind = Kind::kRebalance});
}

auto DetectionWorld::Drain(std::size_t node, std::size_t target, bool draining)
    -> void {
  Deliver(node, DrainSignalled{ids_[target], draining});
}

auto DetectionWorld::IsOutOfUse(std::size_t target) const -> bool {
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& node) {
    return node.shares[target] <= 0;
  });
}

auto DetectionWorld::TotalEjections() const -> std::uint64_t {
  std::uint64_t sum = 0;
  for (const auto count : ejections_) {
    sum += count;
  }
  return sum;
}

auto DetectionWorld::Push(Event event) -> void {
  event.order = order_++;
  queue_.push(event);
}

auto DetectionWorld::Deliver(std::size_t node, const DetectionEvent& event)
    -> void {
  if (nodes_[node].is_paused) {
    // Sockets keep what arrives during a pause.
    if (nodes_[node].missed.size() < 1000) {
      nodes_[node].missed.push_back(event);
    }
    return;
  }
  for (const auto& action : nodes_[node].detector.OnEvent(event, now_)) {
    Act(node, action);
  }
}

auto DetectionWorld::Act(std::size_t node, const DetectionAction& action)
    -> void {
  std::visit(
      Overloaded{
          [&](const StartProbe& probe) { Probe(node, IndexOf(probe.target)); },
          [&](const RetireConnections& retire) {
            const auto target = IndexOf(retire.target);
            nodes_[node].has_silent_connections[target] = false;
            nodes_[node].needs_fresh[target] = true;
          },
          [&](const SetTargetShare& share) { NoteShare(node, share); },
          [&](const SendToPeer& send) {
            SendMessage(node, std::stoul(send.peer.value().substr(3)),
                        send.message);
          },
          [&](const WakeDetectorAt& wake) {
            nodes_[node].wake_at = wake.at;
            Push({.at = std::max(wake.at, now_),
                  .kind = Kind::kTimer,
                  .node = static_cast<std::uint32_t>(node)});
          },
      },
      action);
}

auto DetectionWorld::Handle(const Event& event) -> void {
  switch (event.kind) {
    case Kind::kArrival:
      Arrive(event);
      return;
    case Kind::kAttemptEnd:
      EndAttempt(event);
      return;
    case Kind::kProbeEnd: {
      const auto& upstream = upstreams_[event.target];
      const bool passed = event.result == AttemptResult::kAnswered &&
                          !upstream.is_silent && !upstream.is_refusing &&
                          !path_cut_[event.node][event.target];
      Deliver(event.node, ProbeEnded{ids_[event.target], passed});
      return;
    }
    case Kind::kMessage: {
      const auto letter = std::move(letters_[event.number]);
      free_letters_.push_back(event.number);
      Deliver(event.node,
              DetectionPeerMessage{VmId("vm-" + std::to_string(letter.from)),
                                   letter.message});
      return;
    }
    case Kind::kTimer:
      if (nodes_[event.node].wake_at == event.at) {
        Deliver(event.node, DetectionTimer{});
      }
      return;
    case Kind::kReport:
      Report(event.node);
      return;
    case Kind::kRebalance:
      Rebalance();
      return;
  }
}

auto DetectionWorld::Arrive(const Event& event) -> void {
  const auto target = event.target;
  if (event.number != arrival_number_[target]) {
    return;
  }
  Push({.at = now_ + SecondsToDuration(Exponential(1 / setting_.rate)),
        .kind = Kind::kArrival,
        .target = target,
        .number = event.number});
  const auto owner = owner_[target];
  const bool has_slot = in_flight_[target] + 1 <=
                        nodes_[owner].shares[target] * setting_.slots + 1e-9;
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

auto DetectionWorld::StartAttempt(std::size_t node, std::size_t target)
    -> void {
  const auto& upstream = upstreams_[target];
  const bool is_fresh = nodes_[node].needs_fresh[target];
  nodes_[node].needs_fresh[target] = false;
  ++in_flight_[target];
  ++started_[target];
  Event end{.kind = Kind::kAttemptEnd,
            .node = static_cast<std::uint32_t>(node),
            .target = static_cast<std::uint32_t>(target),
            .number = ++next_attempt_,
            .started = now_};
  Deliver(node, AttemptStarted{AttemptId(end.number), ids_[target], is_fresh});
  const auto service = SecondsToDuration(
      Exponential(kMeanServiceSeconds * upstream.slow_factor));
  const auto total =
      2 * setting_.one_way + service + (is_fresh ? kConnect : Duration(0));
  const bool fails = random_.Unit() < upstream.failure_rate ||
                     random_.Unit() < caller_faults_[node];
  const bool is_lost = upstream.is_silent || upstream.is_hanging ||
                       path_cut_[node][target] ||
                       nodes_[node].has_silent_connections[target];
  if (upstream.is_refusing) {
    end.at = now_ + 2 * setting_.one_way;
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

auto DetectionWorld::EndAttempt(Event event) -> void {
  const auto& upstream = upstreams_[event.target];
  const bool is_answer = event.result == AttemptResult::kAnswered ||
                         event.result == AttemptResult::kServerError;
  if (is_answer &&
      (upstream.is_silent || path_cut_[event.node][event.target])) {
    // The fault came while the request was in flight.
    event.at = event.started + kDeadline;
    event.result = AttemptResult::kTimeout;
    Push(event);
    return;
  }
  if (is_answer && upstream.is_refusing) {
    event.result = AttemptResult::kReset;
  }
  --in_flight_[event.target];
  NoteOutcome(event.node, event.target,
              {AttemptId(event.number), ids_[event.target], event.result,
               now_ - event.started});
}

auto DetectionWorld::NoteOutcome(std::size_t node,
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
  if (!sender.has_report_due) {
    sender.has_report_due = true;
    Push({.at = now_ + kReportInterval,
          .kind = Kind::kReport,
          .node = static_cast<std::uint32_t>(node)});
  }
}

auto DetectionWorld::Probe(std::size_t node, std::size_t target) -> void {
  const auto& upstream = upstreams_[target];
  ++probes_[target];
  auto& recent = recent_probes_[target];
  recent.push_back(now_);
  std::erase_if(recent, [&](const auto& at) {
    return now_ - at >= std::chrono::seconds(1);
  });
  most_probes_ = std::max<std::uint64_t>(most_probes_, recent.size());
  Event end{.kind = Kind::kProbeEnd,
            .node = static_cast<std::uint32_t>(node),
            .target = static_cast<std::uint32_t>(target)};
  const auto duration =
      kConnect + 2 * setting_.one_way +
      SecondsToDuration(ToSeconds(kProbeDuration) * upstream.slow_factor);
  if (upstream.is_refusing) {
    end.at = now_ + 2 * setting_.one_way;
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

auto DetectionWorld::Report(std::size_t node) -> void {
  auto& sender = nodes_[node];
  sender.has_report_due = false;
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
  // Reports go on while attempts are in flight.
  for (std::size_t target = 0; target < ids_.size(); ++target) {
    if (owner_[target] == node && in_flight_[target] > 0) {
      sender.has_report_due = true;
      Push({.at = now_ + kReportInterval,
            .kind = Kind::kReport,
            .node = static_cast<std::uint32_t>(node)});
      return;
    }
  }
}

auto DetectionWorld::SendMessage(std::size_t from,
                                 std::size_t to,
                                 const PeerMessage& message) -> void {
  if (mesh_cut_[from][to]) {
    return;
  }
  int copies = random_.Unit() < loss_ ? 0 : 1;
  copies += random_.Unit() < repeats_ ? 1 : 0;
  for (; copies > 0; --copies) {
    std::size_t letter = letters_.size();
    if (free_letters_.empty()) {
      letters_.emplace_back();
    } else {
      letter = free_letters_.back();
      free_letters_.pop_back();
    }
    letters_[letter] = {static_cast<std::uint32_t>(from), message};
    // With faults, a message may also be overtaken by later ones.
    const double late = repeats_ > 0 ? Exponential(0.005) : 0;
    Push({.at = now_ + setting_.one_way + SecondsToDuration(late),
          .kind = Kind::kMessage,
          .node = static_cast<std::uint32_t>(to),
          .number = letter});
  }
}

auto DetectionWorld::NoteShare(std::size_t node, const SetTargetShare& action)
    -> void {
  const auto target = IndexOf(action.target);
  auto& state = nodes_[node];
  const bool is_own = !action.reason.starts_with("notice");
  if (action.state == TargetState::kEjected && is_own &&
      state.states[target] != TargetState::kEjected) {
    ++ejections_[target];
    last_reason_ = action.reason;
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

auto DetectionWorld::Configure(std::size_t node) -> void {
  DetectionConfigured event;
  event.row.service = ServiceId("service");
  event.row.slots = setting_.slots;
  event.row.floor = setting_.floor;
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

auto DetectionWorld::Rebalance() -> void {
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

auto DetectionWorld::Exponential(double mean) -> double {
  return -mean * std::log(1 - random_.Unit());
}

auto DetectionWorld::IndexOf(const TargetId& target) const -> std::size_t {
  return static_cast<std::size_t>(std::stoul(target.value().substr(7, 3))) -
         100;
}

}  // namespace flamingoyoke
