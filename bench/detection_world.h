#ifndef FLAMINGOYOKE_BENCH_DETECTION_WORLD_H_
#define FLAMINGOYOKE_BENCH_DETECTION_WORLD_H_

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

// Size of one service and its surroundings.
struct DetectionSetting {
  std::size_t targets = 8;
  std::uint32_t slots = 2;
  Duration one_way = std::chrono::microseconds(500);
  double floor = 0.5;
  std::size_t nodes = 4;
  // Requests per second on each target.
  double rate = 20;
};

// How a fake upstream behaves.
struct FakeUpstream {
  double failure_rate = 0.005;
  double slow_factor = 1;
  // Nothing is answered, neither work nor probes.
  bool is_silent = false;
  // Connections are refused at once.
  bool is_refusing = false;
  // Probes pass, work is never answered.
  bool is_hanging = false;
};

// Detectors of the home nodes of one service with fakes of upstreams, slots
// and network at their interfaces, in virtual time.
class DetectionWorld {
 public:
  static constexpr Duration kDeadline = std::chrono::seconds(1);

  DetectionWorld(const DetectionSetting& setting, std::uint64_t seed);

  // Runs until `until` or until `stop` returns true after an event.
  auto Run(TimePoint until, const std::function<bool()>& stop) -> void;
  auto Run(TimePoint until) -> void;
  [[nodiscard]] auto Now() const -> TimePoint { return now_; }

  auto SetRate(double per_target) -> void;
  auto Upstream(std::size_t target) -> FakeUpstream& {
    return upstreams_[target];
  }
  // Cuts the path from a node to a target.
  auto SetPathCut(std::size_t node, std::size_t target, bool cut) -> void {
    path_cut_[node][target] = cut;
  }
  // Cuts messages from one node to another, one way.
  auto SetMeshCut(std::size_t from, std::size_t to, bool cut) -> void {
    mesh_cut_[from][to] = cut;
  }
  // Share of peer messages lost, and repeated, 0 to 1.
  auto SetMeshFaults(double loss, double repeats) -> void {
    loss_ = loss;
    repeats_ = repeats;
  }
  // Share of attempts of one node that fail with 5xx due to its callers.
  auto SetCallerFaults(std::size_t node, double share) -> void {
    caller_faults_[node] = share;
  }
  // All open connections of a node to a target go silent; new ones work.
  auto SilenceConnections(std::size_t node, std::size_t target) -> void;
  // The node takes no events until Resume(), which moves its targets to
  // others after the membership timeout.
  auto Pause(std::size_t node) -> void;
  auto Resume(std::size_t node) -> void;
  auto Drain(std::size_t node, std::size_t target, bool draining) -> void;

  [[nodiscard]] auto Nodes() const -> std::size_t { return nodes_.size(); }
  [[nodiscard]] auto Targets() const -> std::size_t {
    return upstreams_.size();
  }
  [[nodiscard]] auto DomainOf(std::size_t target) const -> std::size_t {
    return target % setting_.nodes;
  }
  [[nodiscard]] auto ShareAt(std::size_t node, std::size_t target) const
      -> double {
    return nodes_[node].shares[target];
  }
  // Whether no node uses the target.
  [[nodiscard]] auto IsOutOfUse(std::size_t target) const -> bool;
  // Number of times an owner ejected the target.
  [[nodiscard]] auto Ejections(std::size_t target) const -> std::uint64_t {
    return ejections_[target];
  }
  [[nodiscard]] auto TotalEjections() const -> std::uint64_t;
  // Why the last ejection was decided.
  [[nodiscard]] auto LastReason() const -> const std::string& {
    return last_reason_;
  }
  [[nodiscard]] auto Probes(std::size_t target) const -> std::uint64_t {
    return probes_[target];
  }
  // Most probes on one target within any one second.
  [[nodiscard]] auto MostProbesInOneSecond() const -> std::uint64_t {
    return most_probes_;
  }
  [[nodiscard]] auto Started(std::size_t target) const -> std::uint64_t {
    return started_[target];
  }
  [[nodiscard]] auto Attempts() const -> std::uint64_t { return next_attempt_; }
  // Called with (target, failed) for each answered attempt.
  auto OnAnswer(std::function<void(std::size_t, bool)> observer) -> void {
    observer_ = std::move(observer);
  }

 private:
  enum class Kind {
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
    std::uint64_t order = 0;
    Kind kind = Kind::kArrival;
    std::uint32_t node = 0;
    std::uint32_t target = 0;
    std::uint64_t number = 0;
    // Result of an attempt or probe.
    AttemptResult result = AttemptResult::kAnswered;
    TimePoint started;

    auto operator>(const Event& other) const -> bool {
      return at != other.at ? at > other.at : order > other.order;
    }
  };
  struct Node {
    explicit Node(std::uint64_t seed) : detector(Random(seed)) {}
    Detector detector;
    std::vector<double> shares;
    std::vector<TargetState> states;
    std::vector<bool> has_silent_connections;
    std::vector<bool> needs_fresh;
    TimePoint wake_at;
    bool is_paused = false;
    // Load report since the last one.
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0;
    std::vector<Duration> latencies;
    bool has_report_due = false;
    std::vector<DetectionEvent> missed;
  };

  auto Push(Event event) -> void;
  auto Deliver(std::size_t node, const DetectionEvent& event) -> void;
  auto Act(std::size_t node, const DetectionAction& action) -> void;
  auto Handle(const Event& event) -> void;
  auto Arrive(const Event& event) -> void;
  auto StartAttempt(std::size_t node, std::size_t target) -> void;
  auto EndAttempt(Event event) -> void;
  auto NoteOutcome(std::size_t node,
                   std::size_t target,
                   const AttemptEnded& ended) -> void;
  auto Probe(std::size_t node, std::size_t target) -> void;
  auto Report(std::size_t node) -> void;
  auto SendMessage(std::size_t from, std::size_t to, const PeerMessage& message)
      -> void;
  auto NoteShare(std::size_t node, const SetTargetShare& action) -> void;
  auto Configure(std::size_t node) -> void;
  auto Rebalance() -> void;
  auto Exponential(double mean) -> double;
  auto IndexOf(const TargetId& target) const -> std::size_t;

  DetectionSetting setting_;
  Random random_;
  TimePoint now_;
  std::uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  struct Letter {
    std::uint32_t from = 0;
    PeerMessage message;
  };
  std::vector<Letter> letters_;
  std::vector<std::size_t> free_letters_;
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
  double repeats_ = 0;
  std::uint64_t next_attempt_ = 0;
  std::vector<std::uint64_t> ejections_;
  std::vector<std::uint64_t> probes_;
  std::vector<std::uint64_t> started_;
  std::vector<std::vector<TimePoint>> recent_probes_;
  std::uint64_t most_probes_ = 0;
  std::string last_reason_;
  std::function<void(std::size_t, bool)> observer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_DETECTION_WORLD_H_
