#include <cstdio>
#include <string>

#include "bench/baseline_balancer.h"
#include "bench/benches.h"
#include "bench/dispatcher_simulation.h"
#include "bench/workload.h"

namespace flamingoyoke {
namespace {

constexpr Duration kLength = std::chrono::seconds(30);
constexpr Duration kDeadline = std::chrono::seconds(1);

// Strategies that the benchmark compares.
enum class DispatchStrategy {
  kRandom,
  kRoundRobin,
  kTwoChoices,
  kStaticShares,
  kSlotLoans,
  kOneQueue
};

}  // namespace

template <>
struct EnumNames<DispatchStrategy> {
  static constexpr auto kTable = std::to_array<NameEntry<DispatchStrategy>>({
      {DispatchStrategy::kRandom, "random"},
      {DispatchStrategy::kRoundRobin, "round robin"},
      {DispatchStrategy::kTwoChoices, "two choices"},
      {DispatchStrategy::kStaticShares, "static shares"},
      {DispatchStrategy::kSlotLoans, "home set with slot loans"},
      {DispatchStrategy::kOneQueue, "one queue (ideal)"},
  });
};
static_assert(IsDense<DispatchStrategy>());

namespace {

auto RunBaseline(BaselinePolicy policy,
                 const UserProfile& profile,
                 std::uint32_t targets,
                 std::uint64_t seed,
                 const std::vector<Arrival>& arrivals) -> RunResult {
  return RunBaselineBalancer({policy, targets, profile.slots, kDeadline, seed},
                             arrivals);
}

auto RunStrategy(DispatchStrategy strategy,
                 const UserProfile& profile,
                 std::uint32_t targets,
                 std::uint64_t seed,
                 const std::vector<Arrival>& arrivals) -> RunResult {
  DispatcherSimulationOptions options{.targets = targets,
                                      .slots = profile.slots,
                                      .one_way = profile.one_way,
                                      .deadline = kDeadline,
                                      .seed = seed};
  switch (strategy) {
    case DispatchStrategy::kRandom:
      return RunBaseline(BaselinePolicy::kRandom, profile, targets, seed,
                         arrivals);
    case DispatchStrategy::kRoundRobin:
      return RunBaseline(BaselinePolicy::kRoundRobin, profile, targets, seed,
                         arrivals);
    case DispatchStrategy::kTwoChoices:
      return RunBaseline(BaselinePolicy::kTwoChoices, profile, targets, seed,
                         arrivals);
    case DispatchStrategy::kStaticShares:
      options.lends_slots = false;
      break;
    case DispatchStrategy::kSlotLoans:
      break;
    case DispatchStrategy::kOneQueue:
      options.members = 1;
      break;
  }
  return DispatcherSimulation(options).Run(arrivals);
}

// Runs all services of a profile at one load and merges their results.
auto RunServices(DispatchStrategy strategy,
                 const UserProfile& profile,
                 double load,
                 std::uint64_t seed) -> RunResult {
  RunResult merged;
  for (std::size_t i = 0; i < profile.targets.size(); ++i) {
    const auto targets = profile.targets[i];
    const auto arrivals = MakeWorkload(
        {.slots = targets * profile.slots, .load = load, .length = kLength},
        Random(seed * 100 + i));
    merged.Merge(RunStrategy(strategy, profile, targets, seed, arrivals));
  }
  return merged;
}

}  // namespace

auto RunDispatchBench(std::uint64_t seed) -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  for (const auto& profile : AllProfiles()) {
    for (const int percent : {60, 80, 90}) {
      const auto load_label = " at " + std::to_string(percent) + "%: ";
      const auto ideal = RunServices(DispatchStrategy::kOneQueue, profile,
                                     percent / 100.0, seed);
      for (const auto& entry : EnumNames<DispatchStrategy>::kTable) {
        const auto strategy = entry.value;
        const auto result =
            strategy == DispatchStrategy::kOneQueue
                ? ideal
                : RunServices(strategy, profile, percent / 100.0, seed);
        const auto add = [&](const std::string& figure, const char* unit,
                             double value, double baseline) {
          measurements.push_back(
              {.bench = "dispatch",
               .profile = std::string(profile.name),
               .name =
                   std::string(entry.name).append(load_label).append(figure),
               .unit = unit,
               .value = value,
               .baseline_name = "one queue",
               .baseline = baseline});
        };
        const auto quantile = [](const RunResult& run, double q) {
          return run.ResponseMs(WorkClass::kShort, q);
        };
        add("p50", "ms", quantile(result, 0.5), quantile(ideal, 0.5));
        add("p99", "ms", quantile(result, 0.99), quantile(ideal, 0.99));
        add("shed", "%", result.ShedShare() * 100, ideal.ShedShare() * 100);
        if (strategy == DispatchStrategy::kSlotLoans) {
          add("control per node of 40", "B/s",
              static_cast<double>(result.bytes) / ToSeconds(kLength) /
                  kFleetNodes,
              0);
        }
      }
    }
  }
  return measurements;
}

}  // namespace flamingoyoke
