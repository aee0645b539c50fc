#include <algorithm>
#include <string>

#include "bench/baseline_balancer.h"
#include "bench/benches.h"
#include "bench/dispatcher_simulation.h"
#include "bench/workload.h"

namespace flamingoyoke {
namespace {

constexpr Duration kLength = std::chrono::seconds(230);
constexpr Duration kWarmUp = std::chrono::seconds(30);
// Long enough that no request is rejected, as the benchmark compares waiting
// times.
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

  auto KeepWorst(const Ratios& other) -> void {
    short_ratio = std::max(short_ratio, other.short_ratio);
    long_ratio = std::max(long_ratio, other.long_ratio);
    shed_percent = std::max(shed_percent, other.shed_percent);
  }
};

struct NamedPolicy {
  std::string name;
  LongWorkPolicy policy;
};

auto AlternativePolicies() -> const std::vector<NamedPolicy>& {
  static const std::vector<NamedPolicy> policies = {
      {"fixed cap", FixedCap{0.7}},
      {"dedicated targets", DedicatedTargets{0.7}},
      {"adaptive cap with dedicated targets",
       AdaptiveCapWithDedicatedTargets{}}};
  return policies;
}

// Figures of one service, or the worst ones of several services.
struct ServiceFigures {
  Ratios chosen;
  Ratios ideal;
  // In the order of AlternativePolicies().
  std::vector<Ratios> alternatives;
  double bytes_per_second = 0;
};

// Compares the policies on one service with two reference runs: short requests
// alone, and one FIFO queue.
class ServiceComparison {
 public:
  ServiceComparison(const DispatcherSimulationOptions& options, double load)
      : options_(options) {
    const auto slots = options.targets * options.slots;
    WorkloadOptions workload{.slots = slots,
                             .load = load,
                             .length = kLength,
                             .long_share = kLongShare};
    const Random random(options.seed);
    mixed_ = MakeWorkload(workload, random);
    workload.drop_long = true;
    const auto alone =
        DispatcherSimulation(options).Run(MakeWorkload(workload, random));
    short_alone_ms_ = alone.ResponseMs(WorkClass::kShort, 0.99);
    const auto fifo = RunSingleFifo(slots, mixed_, kWarmUp);
    long_fifo_ms_ = fifo.ResponseMs(WorkClass::kLong, 0.99);
  }

  auto ComputeFigures(bool with_alternatives) const -> ServiceFigures {
    ServiceFigures figures;
    const auto chosen = DispatcherSimulation(options_).Run(mixed_);
    figures.chosen = RatiosOf(chosen);
    figures.bytes_per_second =
        static_cast<double>(chosen.bytes) / ToSeconds(kLength);
    auto options = options_;
    options.members = 1;
    figures.ideal = RatiosOf(DispatcherSimulation(options).Run(mixed_));
    for (const auto& [name, policy] : AlternativePolicies()) {
      options = options_;
      options.policy = policy;
      figures.alternatives.push_back(
          with_alternatives
              ? RatiosOf(DispatcherSimulation(options).Run(mixed_))
              : Ratios());
    }
    return figures;
  }

 private:
  auto RatiosOf(const RunResult& run) const -> Ratios {
    return {run.ResponseMs(WorkClass::kShort, 0.99) / short_alone_ms_,
            run.ResponseMs(WorkClass::kLong, 0.99) / long_fifo_ms_,
            run.ShedShare() * 100};
  }

  DispatcherSimulationOptions options_;
  std::vector<Arrival> mixed_;
  double short_alone_ms_ = 0;
  double long_fifo_ms_ = 0;
};

// The bounds apply to the worst service. The alternative policies run on the
// first service only, to keep the benchmark short.
auto MeasureProfile(const UserProfile& profile, double load, std::uint64_t seed)
    -> ServiceFigures {
  ServiceFigures worst;
  worst.alternatives.resize(AlternativePolicies().size());
  for (std::size_t i = 0; i < profile.targets.size(); ++i) {
    const ServiceComparison comparison({.targets = profile.targets[i],
                                        .slots = profile.slots,
                                        .one_way = profile.one_way,
                                        .deadline = kDeadline,
                                        .warm_up = kWarmUp,
                                        .seed = seed * 100 + i},
                                       load);
    const auto figures = comparison.ComputeFigures(i == 0);
    worst.chosen.KeepWorst(figures.chosen);
    worst.ideal.KeepWorst(figures.ideal);
    worst.bytes_per_second += figures.bytes_per_second;
    for (std::size_t k = 0; k < worst.alternatives.size(); ++k) {
      worst.alternatives[k].KeepWorst(figures.alternatives[k]);
    }
  }
  return worst;
}

auto ToMeasures(const UserProfile& profile,
                const LoadLevel& level,
                const ServiceFigures& figures) -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  const auto load_label =
      " at " + std::to_string(static_cast<int>(level.load * 100)) + "%";
  const auto add = [&](const std::string& name, const char* unit, double value,
                       double bound, double ideal) {
    measurements.push_back(
        {.bench = "short_long",
         .profile = std::string(profile.name),
         .name = name + load_label,
         .unit = unit,
         .value = value,
         .bound_kind = bound > 0 ? BoundKind::kAtMost : BoundKind::kNone,
         .bound = bound,
         .baseline_name = ideal > 0 ? "one queue" : "",
         .baseline = ideal});
  };
  add("p99 of short, against short alone", "x", figures.chosen.short_ratio,
      kShortBound, figures.ideal.short_ratio);
  add("p99 of long, against one FIFO queue", "x", figures.chosen.long_ratio,
      level.long_bound, figures.ideal.long_ratio);
  add("shed", "%", figures.chosen.shed_percent, 0, 0);
  add("control per node of 40", "B/s", figures.bytes_per_second / kFleetNodes,
      0, 0);
  for (std::size_t k = 0; k < figures.alternatives.size(); ++k) {
    const auto& name = AlternativePolicies()[k].name;
    add(name + ": p99 of short", "x", figures.alternatives[k].short_ratio, 0,
        0);
    add(name + ": p99 of long", "x", figures.alternatives[k].long_ratio, 0, 0);
  }
  return measurements;
}

}  // namespace

auto RunShortLongBench(std::uint64_t seed) -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  for (const auto& profile : AllProfiles()) {
    for (const auto& level : kLevels) {
      const auto figures = MeasureProfile(profile, level.load, seed);
      const auto added = ToMeasures(profile, level, figures);
      measurements.insert(measurements.end(), added.begin(), added.end());
    }
  }
  return measurements;
}

}  // namespace flamingoyoke
