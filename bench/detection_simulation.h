#ifndef FLAMINGOYOKE_BENCH_DETECTION_SIMULATION_H_
#define FLAMINGOYOKE_BENCH_DETECTION_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/detection/detector.h"

namespace flamingoyoke {

// Size, load and network latency of the simulated service.
struct DetectionSimulationOptions {
  std::size_t targets = 8;
  std::uint32_t slots = 2;
  Duration one_way = std::chrono::microseconds(500);
  double floor = 0.5;
  std::size_t nodes = 4;
  // Requests per second on each target.
  double rate = 20;
};

// Behaviour of a simulated upstream.
struct FakeUpstream {
  double failure_rate = 0.005;
  double slow_factor = 1;
  // Answers neither requests nor probes.
  bool is_silent = false;
  // Refuses connections immediately.
  bool is_refusing = false;
  // Answers probes, but never requests.
  bool is_hanging = false;
};

// Runs the detectors of the home nodes of one service in virtual time, against
// simulated upstreams, slots and network.
class DetectionSimulation {
 public:
  static constexpr Duration kDeadline = std::chrono::seconds(1);

  DetectionSimulation(const DetectionSimulationOptions& options,
                      std::uint64_t seed);

  // Runs until `until`, or until `stop` returns true after an event.
  auto Run(TimePoint until, const std::function<bool()>& stop) -> void;
  auto Run(TimePoint until) -> void;
  [[nodiscard]] auto Now() const -> TimePoint { return now_; }

  auto SetRate(double per_target) -> void;
  auto Upstream(std::size_t target) -> FakeUpstream& {
    return upstreams_[target];
  }
  // Cuts or restores the path from a node to a target.
  auto SetPathCut(std::size_t node, std::size_t target, bool cut) -> void {
    path_cut_[node][target] = cut;
  }
  // Cuts or restores the messages from one node to another, in this direction
  // only.
  auto SetMeshCut(std::size_t from, std::size_t to, bool cut) -> void {
    mesh_cut_[from][to] = cut;
  }
  // Sets the shares of peer messages that are lost and duplicated, 0 to 1.
  auto SetMeshFaults(double loss, double duplication) -> void {
    loss_ = loss;
    duplication_ = duplication;
  }
  // Sets the share of attempts of one node that fail with 5xx because of its
  // callers.
  auto SetCallerFaults(std::size_t node, double share) -> void {
    caller_faults_[node] = share;
  }
  // Stops answers on all open connections of a node to a target; new
  // connections work.
  auto SilenceConnections(std::size_t node, std::size_t target) -> void;
  // Holds back the events of the node until Resume(). After the membership
  // timeout, the targets are assigned again to the nodes that are not paused.
  auto Pause(std::size_t node) -> void;
  auto Resume(std::size_t node) -> void;
  auto Drain(std::size_t node, std::size_t target, bool draining) -> void;

  [[nodiscard]] auto NodeCount() const -> std::size_t { return nodes_.size(); }
  [[nodiscard]] auto TargetCount() const -> std::size_t {
    return upstreams_.size();
  }
  [[nodiscard]] auto DomainOf(std::size_t target) const -> std::size_t {
    return target % options_.nodes;
  }
  [[nodiscard]] auto ShareAt(std::size_t node, std::size_t target) const
      -> double {
    return nodes_[node].shares[target];
  }
  // Returns whether the share of the target is 0 on every node.
  [[nodiscard]] auto IsUnused(std::size_t target) const -> bool;
  // Returns how often an owner ejected the target.
  [[nodiscard]] auto EjectionCount(std::size_t target) const -> std::uint64_t {
    return ejections_[target];
  }
  [[nodiscard]] auto TotalEjectionCount() const -> std::uint64_t;
  // Returns the reason of the last ejection.
  [[nodiscard]] auto LastEjectionReason() const -> const std::string& {
    return last_ejection_reason_;
  }
  [[nodiscard]] auto ProbeCount(std::size_t target) const -> std::uint64_t {
    return probes_[target];
  }
  // Returns the highest number of probes of one target within any one second.
  [[nodiscard]] auto MaxProbesInOneSecond() const -> std::uint64_t {
    return max_probes_in_one_second_;
  }
  [[nodiscard]] auto StartedAttempts(std::size_t target) const
      -> std::uint64_t {
    return started_[target];
  }
  [[nodiscard]] auto Attempts() const -> std::uint64_t { return next_attempt_; }
  // Sets a function that is called with (target, failed) when an attempt ends.
  auto SetAttemptObserver(std::function<void(std::size_t, bool)> observer)
      -> void {
    observer_ = std::move(observer);
  }

 private:
  enum class EventKind {
    kArrival,
    kAttemptEnd,
    kProbeEnd,
    kMessage,
    kTimer,
    kReport,
    kRebalance,
  };
  struct Event {
    TimePoint at;
    std::uint64_t sequence = 0;
    EventKind kind = EventKind::kArrival;
    std::uint32_t node = 0;
    std::uint32_t target = 0;
    std::uint64_t number = 0;
    // Result of an attempt or probe.
    AttemptResult result = AttemptResult::kAnswered;
    TimePoint started;

    auto operator>(const Event& other) const -> bool {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };
  struct Node {
    explicit Node(std::uint64_t seed) : detector(Random(seed)) {}
    Detector detector;
    std::vector<double> shares;
    std::vector<TargetState> states;
    std::vector<bool> has_silent_connections;
    std::vector<bool> needs_new_connection;
    TimePoint wake_at;
    bool is_paused = false;
    // Outcomes since the last load report.
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    std::vector<Duration> latencies;
    bool is_report_scheduled = false;
    std::vector<DetectionEvent> undelivered_events;
  };

  auto Push(Event event) -> void;
  auto Deliver(std::size_t node, const DetectionEvent& event) -> void;
  auto ApplyAction(std::size_t node, const DetectionAction& action) -> void;
  auto Handle(const Event& event) -> void;
  auto HandleArrival(const Event& event) -> void;
  auto StartAttempt(std::size_t node, std::size_t target) -> void;
  auto EndAttempt(Event event) -> void;
  auto RecordOutcome(std::size_t node,
                     std::size_t target,
                     const AttemptEnded& ended) -> void;
  auto RunProbe(std::size_t node, std::size_t target) -> void;
  auto SendLoadReport(std::size_t node) -> void;
  auto SendMessage(std::size_t from, std::size_t to, const PeerMessage& message)
      -> void;
  auto RecordShare(std::size_t node, const SetTargetShare& action) -> void;
  auto Configure(std::size_t node) -> void;
  auto Rebalance() -> void;
  auto Exponential(double mean) -> double;
  auto IndexOf(const TargetId& target) const -> std::size_t;

  DetectionSimulationOptions options_;
  Random random_;
  TimePoint now_;
  std::uint64_t next_sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  struct InTransitMessage {
    std::uint32_t from = 0;
    PeerMessage message;
  };
  std::vector<InTransitMessage> in_transit_messages_;
  std::vector<std::size_t> free_message_slots_;
  std::vector<Node> nodes_;
  std::vector<FakeUpstream> upstreams_;
  std::vector<TargetId> ids_;
  std::vector<std::size_t> owner_;
  std::vector<std::uint32_t> in_flight_;
  std::vector<std::uint64_t> arrival_number_;
  std::vector<std::vector<bool>> path_cut_;
  std::vector<std::vector<bool>> mesh_cut_;
  std::vector<double> caller_faults_;
  double loss_ = 0;
  double duplication_ = 0;
  std::uint64_t next_attempt_ = 0;
  std::vector<std::uint64_t> ejections_;
  std::vector<std::uint64_t> probes_;
  std::vector<std::uint64_t> started_;
  std::vector<std::vector<TimePoint>> recent_probes_;
  std::uint64_t max_probes_in_one_second_ = 0;
  std::string last_ejection_reason_;
  std::function<void(std::size_t, bool)> observer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_DETECTION_SIMULATION_H_
