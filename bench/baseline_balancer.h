#ifndef FLAMINGOYOKE_BENCH_BASELINE_BALANCER_H_
#define FLAMINGOYOKE_BENCH_BASELINE_BALANCER_H_

#include <array>
#include <cstdint>
#include <vector>

#include "bench/run_result.h"
#include "bench/workload.h"
#include "core/name_table.h"

namespace flamingoyoke {

// Load-balancing policies without a queue in the balancer, used as baselines.
enum class BaselinePolicy { kRandom, kRoundRobin, kTwoChoices };

template <>
struct EnumNames<BaselinePolicy> {
  static constexpr auto kTable = std::to_array<NameEntry<BaselinePolicy>>({
      {BaselinePolicy::kRandom, "random"},
      {BaselinePolicy::kRoundRobin, "round robin"},
      {BaselinePolicy::kTwoChoices, "two choices"},
  });
};
static_assert(IsDense<BaselinePolicy>());

struct BaselineOptions {
  BaselinePolicy policy = BaselinePolicy::kRandom;
  std::uint32_t targets = 0;
  std::uint32_t slots = 0;
  Duration deadline{};
  std::uint64_t seed = 0;
};

// Simulates 40 nodes that forward each request to a target immediately. A
// target queues up to 8 requests beyond its slots and sheds the rest; a shed
// request is retried up to twice. With two choices, a node takes the target
// with the lower load: the load that the last answer to this node reported,
// plus the attempts that the node has started since.
auto RunBaselineBalancer(const BaselineOptions& options,
                         const std::vector<Arrival>& arrivals) -> RunResult;

// Simulates one FIFO queue in front of all slots, for short and long requests
// alike.
auto RunSingleFifo(std::uint32_t slots,
                   const std::vector<Arrival>& arrivals,
                   Duration warm_up) -> RunResult;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_BASELINE_BALANCER_H_
