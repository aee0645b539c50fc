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
inline constexpr TimePoint kBenchStart{std::chrono::seconds(1000)};
inline constexpr std::size_t kHomeMembers = 4;
inline constexpr std::size_t kFleetNodes = 40;

// A user of docs/design.md, section 1.3.
struct UserProfile {
  std::string_view name;
  // Targets of each service.
  std::vector<std::uint32_t> targets;
  std::uint32_t slots;
  // Between two nodes.
  Duration one_way;
};

auto AllProfiles() -> const std::vector<UserProfile>&;

// A request with the service time that it needs on any target.
struct Arrival {
  TimePoint at{};
  Duration service{};
  WorkClass work_class = WorkClass::kShort;
  // Uniform bits to choose a node by.
  std::uint64_t choice = 0;
};

struct WorkloadOptions {
  std::uint32_t slots = 0;
  // Offered work relative to the slots, constant over time.
  double load = 0;
  Duration length{};
  // Share of requests that are long, and how much longer they are.
  double long_share = 0;
  double long_factor = 20;
  // Keeps the arrivals of the short requests and leaves out the long ones.
  bool drop_long = false;
};

// Poisson arrivals with exponential service times.
auto MakeWorkload(const WorkloadOptions& options, Random random)
    -> std::vector<Arrival>;

// Arrivals that rise from idle to `peak` times the capacity within a second,
// stay there for `hold`, and return within a second.
auto MakeCrest(std::uint32_t slots, double peak, Duration hold, Random random)
    -> std::vector<Arrival>;

// Returns an exponentially distributed duration. `mean` must be positive.
auto Exponential(Duration mean, Random& random) -> Duration;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_WORKLOAD_H_
