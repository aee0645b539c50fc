#ifndef FLAMINGOYOKE_BENCH_BLIND_CHOICE_H_
#define FLAMINGOYOKE_BENCH_BLIND_CHOICE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "bench/run_result.h"
#include "bench/workload.h"
#include "core/name_table.h"

namespace flamingoyoke {

// Ways to choose a target without a queue of one's own, as baselines.
enum class BlindPolicy { kRandom, kRoundRobin, kTwoChoices };

template <>
struct EnumNames<BlindPolicy> {
  static constexpr auto kTable = std::to_array<NameEntry<BlindPolicy>>({
      {BlindPolicy::kRandom, "random"},
      {BlindPolicy::kRoundRobin, "round robin"},
      {BlindPolicy::kTwoChoices, "two choices"},
  });
};
static_assert(IsDense<BlindPolicy>());

struct BlindOptions {
  BlindPolicy policy = BlindPolicy::kRandom;
  std::uint32_t targets = 0;
  std::uint32_t slots = 0;
  Duration deadline{};
  std::uint64_t seed = 0;
};

// Each of the fleet's 40 nodes sends a request to a target at once. A target
// queues up to 8 requests beyond its slots and sheds more; a shed request is
// tried on two other targets. With two choices, a node prefers the target
// whose last answer to it reported less work, its own open attempts added.
auto RunBlindChoice(const BlindOptions& options,
                    const std::vector<Arrival>& arrivals) -> RunResult;

// One FIFO queue in front of all slots, for short and long work alike.
auto RunSingleFifo(std::uint32_t slots,
                   const std::vector<Arrival>& arrivals,
                   Duration warm_up) -> RunResult;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_BLIND_CHOICE_H_
