#ifndef FLAMINGOYOKE_BENCH_DISPATCHER_RUN_H_
#define FLAMINGOYOKE_BENCH_DISPATCHER_RUN_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "bench/event_queue.h"
#include "bench/run_result.h"
#include "bench/workload.h"
#include "decision/dispatch/service_dispatcher.h"

namespace flamingoyoke {

struct DispatcherRunOptions {
  std::uint32_t targets = 0;
  std::uint32_t slots = 0;
  // Nodes with a dispatcher; targets are dealt out to them in turn.
  std::size_t members = kHomeMembers;
  // Whether the nodes know each other and lend slots.
  bool loans = true;
  Duration one_way{};
  Duration deadline{};
  double long_share = 1;
  std::optional<LongWorkPolicy> policy;
  // Answers to requests that arrived earlier are not counted.
  Duration warm_up{};
  std::uint64_t seed = 0;
};

// Drives the real dispatchers of a home set with a workload. The network
// between nodes is a fixed delay; a target sheds what exceeds its slots.
class DispatcherRun {
 public:
  explicit DispatcherRun(const DispatcherRunOptions& options);

  auto Run(const std::vector<Arrival>& arrivals) -> RunResult;

 private:
  struct ArrivalDue {
    std::size_t index;
  };
  struct AttemptDue {
    std::size_t node;
    AttemptId attempt;
    std::size_t target;
    bool shed;
  };
  struct MessageDue {
    std::size_t node;
    std::size_t sender;
    PeerMessage message;
  };
  struct TimerDue {
    std::size_t node;
    TimePoint at;
  };
  using Due = std::variant<ArrivalDue, AttemptDue, MessageDue, TimerDue>;

  struct Node {
    VmId id;
    ServiceDispatcher dispatcher;
    TimePoint wake = TimePoint::max();
    std::unordered_map<AttemptId, std::size_t> attempts;
  };

  auto Configure() -> void;
  auto Handle(const ArrivalDue& due) -> void;
  auto Handle(const AttemptDue& due) -> void;
  auto Handle(const MessageDue& due) -> void;
  auto Handle(const TimerDue& due) -> void;
  auto Deliver(std::size_t node, const DispatchEvent& event) -> void;
  auto Apply(std::size_t node, const StartAttempt& action) -> void;
  auto Apply(std::size_t node, const CancelAttempt& action) -> void;
  auto Apply(std::size_t node, const FailRequest& action) -> void;
  auto Apply(std::size_t node, const SendToPeer& action) -> void;
  auto Apply(std::size_t node, const WakeDispatcherAt& action) -> void;

  DispatcherRunOptions options_;
  std::vector<Node> nodes_;
  std::vector<std::uint32_t> busy_;
  EventQueue<Due> queue_;
  const std::vector<Arrival>* arrivals_ = nullptr;
  TimePoint now_ = kBenchStart;
  RunResult result_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_DISPATCHER_RUN_H_
