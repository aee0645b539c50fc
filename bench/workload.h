#ifndef FLAMINGOYOKE_BENCH_WORKLOAD_H_
#define FLAMINGOYOKE_BENCH_WORKLOAD_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"

namespace flamingoyoke {

inline constexpr Duration kMeanShortService = std::chrono::milliseconds(20);
inline constexpr TimePoint kSimulationStart{std::chrono::seconds(1000)};
inline constexpr std::size_t kHomeMembers = 4;
inline constexpr std::size_t kFleetNodes = 40;

// User profile of docs/design.md, section 1.3.
struct UserProfile {
  std::string_view name;
  // Number of targets of each service.
  std::vector<std::uint32_t> targets;
  std::uint32_t slots;
  // One-way latency between two nodes.
  Duration one_way;
};

auto AllProfiles() -> const std::vector<UserProfile>&;

// Request with its service time, which is the same on every target.
struct Arrival {
  TimePoint at{};
  Duration service{};
  WorkClass work_class = WorkClass::kShort;
  // Uniformly distributed bits that select the node.
  std::uint64_t choice = 0;
};

struct WorkloadOptions {
  std::uint32_t slots = 0;
  // Offered load as a multiple of the capacity, constant over time.
  double load = 0;
  Duration length{};
  // Share of long requests, and the factor by which their service time is
  // longer.
  double long_share = 0;
  double long_factor = 20;
  // Leaves out the long requests; the arrivals of the short ones stay the same.
  bool drop_long = false;
};

// Returns Poisson arrivals with exponentially distributed service times.
auto MakeWorkload(const WorkloadOptions& options, Random random)
    -> std::vector<Arrival>;

// Returns arrivals whose rate rises within 1 s from idle to `peak_load` times
// the capacity, stays there for `peak_time`, and falls back within 1 s.
auto MakePeakWorkload(std::uint32_t slots,
                      double peak_load,
                      Duration peak_time,
                      Random random) -> std::vector<Arrival>;

// Returns an exponentially distributed duration. `mean` must be positive.
auto Exponential(Duration mean, Random& random) -> Duration;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_WORKLOAD_H_
