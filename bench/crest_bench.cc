#include <string>

#include "bench/benches.h"
#include "bench/dispatcher_simulation.h"
#include "bench/workload.h"

namespace flamingoyoke {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(1);
constexpr Duration kPeakTime = std::chrono::seconds(30);
constexpr Duration kRampTime = std::chrono::seconds(1);
constexpr double kPeakLoad = 2;
// Bound of docs/design.md, section 1.8.
constexpr double kBoundPercent = 95;

auto CapacityPercent(const UserProfile& profile,
                     std::uint32_t targets,
                     bool lends_slots,
                     std::uint64_t seed) -> double {
  const auto slots = targets * profile.slots;
  const auto arrivals =
      MakePeakWorkload(slots, kPeakLoad, kPeakTime, Random(seed));
  const auto result = DispatcherSimulation({.targets = targets,
                                            .slots = profile.slots,
                                            .lends_slots = lends_slots,
                                            .one_way = profile.one_way,
                                            .deadline = kDeadline,
                                            .seed = seed})
                          .Run(arrivals);
  const auto from = kSimulationStart + kRampTime;
  const double possible =
      slots * ToSeconds(kPeakTime) / ToSeconds(kMeanShortService);
  return 100 *
         static_cast<double>(result.TimelyAnswers(from, from + kPeakTime)) /
         possible;
}

}  // namespace

auto RunCrestBench(std::uint64_t seed) -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  for (const auto& profile : AllProfiles()) {
    for (std::size_t i = 0; i < profile.targets.size(); ++i) {
      const auto targets = profile.targets[i];
      const auto service_seed = seed * 100 + i;
      measurements.push_back(
          {.bench = "crest",
           .profile = std::string(profile.name),
           .name = "capacity answered in time, " + std::to_string(targets) +
                   " targets (" + std::to_string(i + 1) + ")",
           .unit = "%",
           .value = CapacityPercent(profile, targets, true, service_seed),
           .bound_kind = BoundKind::kAtLeast,
           .bound = kBoundPercent,
           .baseline_name = "static shares",
           .baseline = CapacityPercent(profile, targets, false, service_seed)});
    }
  }
  return measurements;
}

}  // namespace flamingoyoke
