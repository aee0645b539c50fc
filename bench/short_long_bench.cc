#include <algorithm>
#include <string>

#include "bench/benches.h"
#include "bench/blind_choice.h"
#include "bench/dispatcher_run.h"
#include "bench/workload.h"

namespace flamingoyoke {
namespace {

constexpr Duration kLength = std::chrono::seconds(600);
constexpr Duration kWarmUp = std::chrono::seconds(30);
// Long enough that nothing is rejected: the bench is about waiting.
constexpr Duration kDeadline = std::chrono::seconds(60);
constexpr double kLongShare = 0.1;

// Bounds of docs/design.md, section 1.8.
constexpr double kShortBound = 1.25;
struct LoadLevel {
  double load;
  double long_bound;
};
constexpr LoadLevel kLevels[] = {{0.6, 1.5}, {0.8, 2.5}};

struct Ratios {
  double short_ratio = 0;
  double long_ratio = 0;
  double shed_percent = 0;
  double bytes_per_second = 0;

  auto KeepWorst(const Ratios& other) -> void {
    short_ratio = std::max(short_ratio, other.short_ratio);
    long_ratio = std::max(long_ratio, other.long_ratio);
    shed_percent = std::max(shed_percent, other.shed_percent);
    bytes_per_second += other.bytes_per_second;
  }
};

auto MeasureService(DispatcherRunOptions options, double load) -> Ratios {
  const auto slots = options.targets * options.slots;
  WorkloadOptions workload{.slots = slots,
                           .load = load,
                           .length = kLength,
                           .long_share = kLongShare};
  const Random random(options.seed);
  const auto mixed = MakeWorkload(workload, random);
  workload.drop_long = true;
  const auto short_only = MakeWorkload(workload, random);
  const auto result = DispatcherRun(options).Run(mixed);
  const auto alone = DispatcherRun(options).Run(short_only);
  const auto fifo = RunSingleFifo(slots, mixed, kWarmUp);
  return {.short_ratio = result.ResponseMs(WorkClass::kShort, 0.99) /
                         alone.ResponseMs(WorkClass::kShort, 0.99),
          .long_ratio = result.ResponseMs(WorkClass::kLong, 0.99) /
                        fifo.ResponseMs(WorkClass::kLong, 0.99),
          .shed_percent = result.ShedShare() * 100,
          .bytes_per_second =
              static_cast<double>(result.bytes) / ToSeconds(kLength)};
}

// Returns the worst ratios over the services of a profile.
auto MeasureProfile(const UserProfile& profile,
                    double load,
                    std::size_t members,
                    const std::optional<LongWorkPolicy>& policy,
                    std::uint64_t seed) -> Ratios {
  Ratios worst;
  for (std::size_t i = 0; i < profile.targets.size(); ++i) {
    worst.KeepWorst(MeasureService({.targets = profile.targets[i],
                                    .slots = profile.slots,
                                    .members = members,
                                    .one_way = profile.one_way,
                                    .deadline = kDeadline,
                                    .policy = policy,
                                    .warm_up = kWarmUp,
                                    .seed = seed * 100 + i},
                                   load));
  }
  return worst;
}

struct NamedPolicy {
  std::string name;
  LongWorkPolicy policy;
};

auto Alternatives() -> std::vector<NamedPolicy> {
  return {{"fixed cap", FixedCap{0.7}},
          {"dedicated targets", DedicatedTargets{0.7}},
          {"adaptive cap with dedicated targets",
           AdaptiveCapWithDedicatedTargets{}}};
}

}  // namespace

auto RunShortLongBench(std::uint64_t seed) -> std::vector<Measure> {
  std::vector<Measure> measures;
  for (const auto& profile : AllProfiles()) {
    for (const auto& level : kLevels) {
      const auto at =
          " at " + std::to_string(static_cast<int>(level.load * 100)) + "%";
      const auto add = [&](const std::string& name, const char* unit,
                           double value, double bound, double ideal) {
        measures.push_back(
            {.bench = "short_long",
             .profile = std::string(profile.name),
             .name = name + at,
             .unit = unit,
             .value = value,
             .bound_kind = bound > 0 ? BoundKind::kAtMost : BoundKind::kNone,
             .bound = bound,
             .baseline_name = ideal > 0 ? "one queue" : "",
             .baseline = ideal});
      };
      const auto chosen =
          MeasureProfile(profile, level.load, kHomeMembers, std::nullopt, seed);
      const auto ideal =
          MeasureProfile(profile, level.load, 1, std::nullopt, seed);
      add("p99 of short, against short alone", "x", chosen.short_ratio,
          kShortBound, ideal.short_ratio);
      add("p99 of long, against one FIFO queue", "x", chosen.long_ratio,
          level.long_bound, ideal.long_ratio);
      add("shed", "%", chosen.shed_percent, 0, 0);
      add("control per node of 40", "B/s",
          chosen.bytes_per_second / kFleetNodes, 0, 0);
      for (const auto& [name, policy] : Alternatives()) {
        const auto other =
            MeasureProfile(profile, level.load, kHomeMembers, policy, seed);
        add(name + ": p99 of short", "x", other.short_ratio, 0, 0);
        add(name + ": p99 of long", "x", other.long_ratio, 0, 0);
      }
    }
  }
  return measures;
}

}  // namespace flamingoyoke
