#ifndef FLAMINGOYOKE_BENCH_DISPATCHER_SIMULATION_H_
#define FLAMINGOYOKE_BENCH_DISPATCHER_SIMULATION_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bench/run_result.h"
#include "bench/workload.h"
#include "decision/dispatch/service_dispatcher.h"
#include "unit/decision/event_queue.h"

namespace flamingoyoke {

struct DispatcherSimulationOptions {
  std::uint32_t targets = 0;
  std::uint32_t slots = 0;
  // Number of nodes with a dispatcher. They own the targets round-robin.
  std::size_t members = kHomeMembers;
  // Whether the nodes know each other and lend slots.
  bool lends_slots = true;
  Duration one_way{};
  Duration deadline{};
  double long_share = 1;
  std::optional<LongWorkPolicy> policy;
  // Requests that arrive earlier are left out of the result.
  Duration warm_up{};
  std::uint64_t seed = 0;
};

// Runs the production dispatchers of a home set on a workload in virtual time.
// Messages between nodes take a fixed delay; a target sheds attempts beyond its
// slots.
class DispatcherSimulation {
 public:
  explicit DispatcherSimulation(const DispatcherSimulationOptions& options);

  auto Run(const std::vector<Arrival>& arrivals) -> RunResult;

 private:
  struct ArrivalEvent {
    std::size_t index;
  };
  struct AttemptEndEvent {
    std::size_t node;
    AttemptId attempt;
    std::size_t target;
    bool shed;
  };
  struct MessageEvent {
    std::size_t node;
    std::size_t sender;
    PeerMessage message;
  };
  struct TimerEvent {
    std::size_t node;
    TimePoint at;
  };
  using Event =
      std::variant<ArrivalEvent, AttemptEndEvent, MessageEvent, TimerEvent>;

  struct Node {
    VmId id;
    ServiceDispatcher dispatcher;
    TimePoint wake_at = TimePoint::max();
    std::unordered_map<AttemptId, std::size_t> attempts;
  };

  auto Configure() -> void;
  auto Handle(const ArrivalEvent& event) -> void;
  auto Handle(const AttemptEndEvent& event) -> void;
  auto Handle(const MessageEvent& event) -> void;
  auto Handle(const TimerEvent& event) -> void;
  auto Deliver(std::size_t node, const DispatchEvent& event) -> void;
  auto Apply(std::size_t node, const StartAttempt& action) -> void;
  auto Apply(std::size_t node, const CancelAttempt& action) -> void;
  auto Apply(std::size_t node, const FailRequest& action) -> void;
  auto Apply(std::size_t node, const SendToPeer& action) -> void;
  auto Apply(std::size_t node, const WakeDispatcherAt& action) -> void;

  DispatcherSimulationOptions options_;
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> busy_;
  EventQueue<Event> queue_;
  const std::vector<Arrival>* arrivals_ = nullptr;
  TimePoint now_ = kSimulationStart;
  RunResult result_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_DISPATCHER_SIMULATION_H_
