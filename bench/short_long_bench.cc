#include <algorithm>
#include <string>

#include "bench/benches.h"
#include "bench/blind_choice.h"
#include "bench/dispatcher_run.h"
#include "bench/workload.h"

namespace flamingoyoke {
namespace {

constexpr Duration kLength = std::chrono::seconds(230);
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

auto Alternatives() -> const std::vector<NamedPolicy>& {
  static const std::vector<NamedPolicy> policies = {
      {"fixed cap", FixedCap{0.7}},
      {"dedicated targets", DedicatedTargets{0.7}},
      {"adaptive cap with dedicated targets",
       AdaptiveCapWithDedicatedTargets{}}};
  return policies;
}

// Figures of one service, or the worst of several.
struct ServiceFigures {
  Ratios chosen;
  Ratios ideal;
  // As Alternatives().
  std::vector<Ratios> others;
  double bytes_per_second = 0;
};

// One service of a profile with the runs that its figures are relative to.
class ServiceRuns {
 public:
  ServiceRuns(const DispatcherRunOptions& options, double load)
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
        DispatcherRun(options).Run(MakeWorkload(workload, random));
    short_alone_ms_ = alone.ResponseMs(WorkClass::kShort, 0.99);
    const auto fifo = RunSingleFifo(slots, mixed_, kWarmUp);
    long_fifo_ms_ = fifo.ResponseMs(WorkClass::kLong, 0.99);
  }

  auto Measure(bool with_others) const -> ServiceFigures {
    ServiceFigures figures;
    const auto chosen = DispatcherRun(options_).Run(mixed_);
    figures.chosen = RatiosOf(chosen);
    figures.bytes_per_second =
        static_cast<double>(chosen.bytes) / ToSeconds(kLength);
    auto options = options_;
    options.members = 1;
    figures.ideal = RatiosOf(DispatcherRun(options).Run(mixed_));
    for (const auto& [name, policy] : Alternatives()) {
      options = options_;
      options.policy = policy;
      figures.others.push_back(
          with_others ? RatiosOf(DispatcherRun(options).Run(mixed_))
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

  DispatcherRunOptions options_;
  std::vector<Arrival> mixed_;
  double short_alone_ms_ = 0;
  double long_fifo_ms_ = 0;
};

// The bounds hold for the worst service; the other policies are compared on
// the first service, to keep the bench short.
auto MeasureProfile(const UserProfile& profile, double load, std::uint64_t seed)
    -> ServiceFigures {
  ServiceFigures worst;
  worst.others.resize(Alternatives().size());
  for (std::size_t i = 0; i < profile.targets.size(); ++i) {
    const ServiceRuns runs({.targets = profile.targets[i],
                            .slots = profile.slots,
                            .one_way = profile.one_way,
                            .deadline = kDeadline,
                            .warm_up = kWarmUp,
                            .seed = seed * 100 + i},
                           load);
    const auto figures = runs.Measure(i == 0);
    worst.chosen.KeepWorst(figures.chosen);
    worst.ideal.KeepWorst(figures.ideal);
    worst.bytes_per_second += figures.bytes_per_second;
    for (std::size_t k = 0; k < worst.others.size(); ++k) {
      worst.others[k].KeepWorst(figures.others[k]);
    }
  }
  return worst;
}

auto ToMeasures(const UserProfile& profile,
                const LoadLevel& level,
                const ServiceFigures& figures) -> std::vector<Measure> {
  std::vector<Measure> measures;
  const auto at =
      " at " + std::to_string(static_cast<int>(level.load * 100)) + "%";
  const auto add = [&](const std::string& name, const char* unit, double value,
                       double bound, double ideal) {
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
  add("p99 of short, against short alone", "x", figures.chosen.short_ratio,
      kShortBound, figures.ideal.short_ratio);
  add("p99 of long, against one FIFO queue", "x", figures.chosen.long_ratio,
      level.long_bound, figures.ideal.long_ratio);
  add("shed", "%", figures.chosen.shed_percent, 0, 0);
  add("control per node of 40", "B/s", figures.bytes_per_second / kFleetNodes,
      0, 0);
  for (std::size_t k = 0; k < figures.others.size(); ++k) {
    const auto& name = Alternatives()[k].name;
    add(name + ": p99 of short", "x", figures.others[k].short_ratio, 0, 0);
    add(name + ": p99 of long", "x", figures.others[k].long_ratio, 0, 0);
  }
  return measures;
}

}  // namespace

auto RunShortLongBench(std::uint64_t seed) -> std::vector<Measure> {
  std::vector<Measure> measures;
  for (const auto& profile : AllProfiles()) {
    for (const auto& level : kLevels) {
      const auto figures = MeasureProfile(profile, level.load, seed);
      const auto added = ToMeasures(profile, level, figures);
      measures.insert(measures.end(), added.begin(), added.end());
    }
  }
  return measures;
}

}  // namespace flamingoyoke
