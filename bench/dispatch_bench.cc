#include <cstdio>
#include <string>

#include "bench/benches.h"
#include "bench/blind_choice.h"
#include "bench/dispatcher_run.h"
#include "bench/workload.h"

namespace flamingoyoke {
namespace {

constexpr Duration kLength = std::chrono::seconds(30);
constexpr Duration kDeadline = std::chrono::seconds(1);

// The ways of dividing the work that are compared.
enum class Division {
  kRandom,
  kRoundRobin,
  kTwoChoices,
  kStaticShares,
  kSlotLoans,
  kOneQueue
};

}  // namespace

template <>
struct EnumNames<Division> {
  static constexpr auto kTable = std::to_array<NameEntry<Division>>({
      {Division::kRandom, "random"},
      {Division::kRoundRobin, "round robin"},
      {Division::kTwoChoices, "two choices"},
      {Division::kStaticShares, "static shares"},
      {Division::kSlotLoans, "home set with slot loans"},
      {Division::kOneQueue, "one queue (ideal)"},
  });
};
static_assert(IsDense<Division>());

namespace {

auto RunBlind(BlindPolicy policy,
              const UserProfile& profile,
              std::uint32_t targets,
              std::uint64_t seed,
              const std::vector<Arrival>& arrivals) -> RunResult {
  return RunBlindChoice({policy, targets, profile.slots, kDeadline, seed},
                        arrivals);
}

auto RunDivision(Division division,
                 const UserProfile& profile,
                 std::uint32_t targets,
                 std::uint64_t seed,
                 const std::vector<Arrival>& arrivals) -> RunResult {
  DispatcherRunOptions options{.targets = targets,
                               .slots = profile.slots,
                               .one_way = profile.one_way,
                               .deadline = kDeadline,
                               .seed = seed};
  switch (division) {
    case Division::kRandom:
      return RunBlind(BlindPolicy::kRandom, profile, targets, seed, arrivals);
    case Division::kRoundRobin:
      return RunBlind(BlindPolicy::kRoundRobin, profile, targets, seed,
                      arrivals);
    case Division::kTwoChoices:
      return RunBlind(BlindPolicy::kTwoChoices, profile, targets, seed,
                      arrivals);
    case Division::kStaticShares:
      options.loans = false;
      break;
    case Division::kSlotLoans:
      break;
    case Division::kOneQueue:
      options.members = 1;
      break;
  }
  return DispatcherRun(options).Run(arrivals);
}

// Runs all services of a profile at one load; their answers count together.
auto RunServices(Division division,
                 const UserProfile& profile,
                 double load,
                 std::uint64_t seed) -> RunResult {
  RunResult merged;
  for (std::size_t i = 0; i < profile.targets.size(); ++i) {
    const auto targets = profile.targets[i];
    const auto arrivals = MakeWorkload(
        {.slots = targets * profile.slots, .load = load, .length = kLength},
        Random(seed * 100 + i));
    merged.Merge(RunDivision(division, profile, targets, seed, arrivals));
  }
  return merged;
}

}  // namespace

auto RunDispatchBench(std::uint64_t seed) -> std::vector<Measure> {
  std::vector<Measure> measures;
  for (const auto& profile : AllProfiles()) {
    for (const int percent : {60, 80, 90}) {
      const auto at = " at " + std::to_string(percent) + "%: ";
      const auto ideal =
          RunServices(Division::kOneQueue, profile, percent / 100.0, seed);
      for (const auto& entry : EnumNames<Division>::kTable) {
        const auto division = entry.value;
        const auto result =
            division == Division::kOneQueue
                ? ideal
                : RunServices(division, profile, percent / 100.0, seed);
        const auto add = [&](const std::string& figure, const char* unit,
                             double value, double baseline) {
          measures.push_back(
              {.bench = "dispatch",
               .profile = std::string(profile.name),
               .name = std::string(entry.name).append(at).append(figure),
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
        if (division == Division::kSlotLoans) {
          add("control per node of 40", "B/s",
              static_cast<double>(result.bytes) / ToSeconds(kLength) /
                  kFleetNodes,
              0);
        }
      }
    }
  }
  return measures;
}

}  // namespace flamingoyoke
