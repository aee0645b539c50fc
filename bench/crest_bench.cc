#include <string>

#include "bench/benches.h"
#include "bench/dispatcher_run.h"
#include "bench/workload.h"

namespace flamingoyoke {
namespace {

constexpr Duration kDeadline = std::chrono::seconds(1);
constexpr Duration kHold = std::chrono::seconds(30);
constexpr Duration kEdge = std::chrono::seconds(1);
constexpr double kPeak = 2;
// docs/design.md, section 1.8.
constexpr double kBoundPercent = 95;

auto CapacityPercent(const UserProfile& profile,
                     std::uint32_t targets,
                     bool loans,
                     std::uint64_t seed) -> double {
  const auto slots = targets * profile.slots;
  const auto arrivals = MakeCrest(slots, kPeak, kHold, Random(seed));
  const auto result = DispatcherRun({.targets = targets,
                                     .slots = profile.slots,
                                     .loans = loans,
                                     .one_way = profile.one_way,
                                     .deadline = kDeadline,
                                     .seed = seed})
                          .Run(arrivals);
  const auto from = kBenchStart + kEdge;
  const double possible =
      slots * ToSeconds(kHold) / ToSeconds(kMeanShortService);
  return 100 * static_cast<double>(result.TimelyAnswers(from, from + kHold)) /
         possible;
}

}  // namespace

auto RunCrestBench(std::uint64_t seed) -> std::vector<Measure> {
  std::vector<Measure> measures;
  for (const auto& profile : AllProfiles()) {
    for (std::size_t i = 0; i < profile.targets.size(); ++i) {
      const auto targets = profile.targets[i];
      const auto service_seed = seed * 100 + i;
      measures.push_back(
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
  return measures;
}

}  // namespace flamingoyoke
