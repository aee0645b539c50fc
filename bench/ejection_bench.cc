#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/benches.h"
#include "bench/detection_profiles.h"
#include "bench/detection_simulation.h"
#include "core/name_table.h"

namespace flamingoyoke {
namespace {

// Faults outside a single upstream, which must not lead to an ejection.
enum class Disturbance {
  kFlappingLink,
  kCutFromDomain,
  kCutFromAll,
  kMeshCut,
  kMeshFaults,
  kSlowService,
  kFailingService,
  kCallerFaults,
  kSilentConnections,
  kPause,
};

}  // namespace

template <>
struct EnumNames<Disturbance> {
  static constexpr auto kTable = std::to_array<NameEntry<Disturbance>>({
      {Disturbance::kFlappingLink, "flapping link"},
      {Disturbance::kCutFromDomain, "one node cut from a domain"},
      {Disturbance::kCutFromAll, "one node cut from all targets"},
      {Disturbance::kMeshCut, "one-way cut between members"},
      {Disturbance::kMeshFaults, "messages lost, repeated, late"},
      {Disturbance::kSlowService, "slow service"},
      {Disturbance::kFailingService, "failing service"},
      {Disturbance::kCallerFaults, "faulty callers of one node"},
      {Disturbance::kSilentConnections, "silent connections"},
      {Disturbance::kPause, "paused node"},
  });
};
static_assert(IsDense<Disturbance>());

namespace {

constexpr std::size_t kDisturbanceKinds = kEnumSize<Disturbance>;
// A disturbance every ten minutes: 20 s at full load after 15 s of warm-up.
// The load between them is low, to keep the run short.
constexpr auto kPeriod = std::chrono::minutes(10);
constexpr auto kWarmUp = std::chrono::seconds(15);
constexpr auto kLength = std::chrono::seconds(20);
constexpr auto kRecoveryTime = std::chrono::seconds(10);
constexpr double kFullRate = 20;
constexpr double kLowRate = 0.1;
constexpr int kDays = 10;
constexpr int kPeriodsPerDay = 144;

struct EjectionCounts {
  std::array<std::uint64_t, kDisturbanceKinds> false_ejections = {};
  std::uint64_t false_ejections_between = 0;
  std::uint64_t attempts = 0;
  std::uint64_t periods = 0;

  auto operator+=(const EjectionCounts& other) -> EjectionCounts& {
    for (std::size_t i = 0; i < kDisturbanceKinds; ++i) {
      false_ejections[i] += other.false_ejections[i];
    }
    false_ejections_between += other.false_ejections_between;
    attempts += other.attempts;
    periods += other.periods;
    return *this;
  }
};

auto FlapLink(DetectionSimulation& simulation, std::size_t node, Random& random)
    -> void {
  const auto domain = random.Below(simulation.NodeCount());
  const auto end = simulation.Now() + kLength;
  bool is_cut = false;
  while (simulation.Now() < end) {
    is_cut = !is_cut;
    for (std::size_t target = 0; target < simulation.TargetCount(); ++target) {
      if (simulation.DomainOf(target) == domain) {
        simulation.SetPathCut(node, target, is_cut);
      }
    }
    simulation.Run(simulation.Now() +
                   std::chrono::milliseconds(100 + random.Below(3000)));
  }
}

auto SetCuts(DetectionSimulation& simulation,
             std::size_t node,
             std::size_t domain,
             bool all,
             bool cut) -> void {
  for (std::size_t target = 0; target < simulation.TargetCount(); ++target) {
    if (all || simulation.DomainOf(target) == domain) {
      simulation.SetPathCut(node, target, cut);
    }
  }
}

// Applies `change` to all upstreams for the length of a disturbance.
auto RunWithChangedUpstreams(DetectionSimulation& simulation,
                             const std::function<void(FakeUpstream&)>& change)
    -> void {
  for (std::size_t target = 0; target < simulation.TargetCount(); ++target) {
    change(simulation.Upstream(target));
  }
  simulation.Run(simulation.Now() + kLength);
  for (std::size_t target = 0; target < simulation.TargetCount(); ++target) {
    simulation.Upstream(target) = FakeUpstream();
  }
}

auto InjectDisturbance(DetectionSimulation& simulation,
                       Disturbance kind,
                       Random& random) -> void {
  const auto node = random.Below(simulation.NodeCount());
  const auto other = (node + 1 + random.Below(simulation.NodeCount() - 1)) %
                     simulation.NodeCount();
  const auto until = simulation.Now() + kLength;
  switch (kind) {
    case Disturbance::kFlappingLink:
      FlapLink(simulation, node, random);
      SetCuts(simulation, node, 0, true, false);
      return;
    case Disturbance::kCutFromDomain:
    case Disturbance::kCutFromAll: {
      const bool all = kind == Disturbance::kCutFromAll;
      SetCuts(simulation, node, other, all, true);
      simulation.Run(until);
      SetCuts(simulation, node, other, all, false);
      return;
    }
    case Disturbance::kMeshCut:
      simulation.SetMeshCut(node, other, true);
      simulation.Run(until);
      simulation.SetMeshCut(node, other, false);
      return;
    case Disturbance::kMeshFaults:
      simulation.SetMeshFaults(0.2, 0.2);
      simulation.Run(until);
      simulation.SetMeshFaults(0, 0);
      return;
    case Disturbance::kSlowService: {
      const double factor = 3 + random.Unit() * 12;
      RunWithChangedUpstreams(
          simulation, [&](auto& upstream) { upstream.slow_factor = factor; });
      return;
    }
    case Disturbance::kFailingService: {
      const double rate = 0.1 + random.Unit() * 0.8;
      RunWithChangedUpstreams(
          simulation, [&](auto& upstream) { upstream.failure_rate = rate; });
      return;
    }
    case Disturbance::kCallerFaults:
      simulation.SetCallerFaults(node, 0.1 + random.Unit() * 0.8);
      simulation.Run(until);
      simulation.SetCallerFaults(node, 0);
      return;
    case Disturbance::kSilentConnections:
      for (std::size_t target = 0; target < simulation.TargetCount();
           ++target) {
        simulation.SilenceConnections(node, target);
      }
      simulation.Run(until);
      return;
    case Disturbance::kPause:
      simulation.Pause(node);
      simulation.Run(simulation.Now() +
                     std::chrono::milliseconds(500 + random.Below(15'000)));
      simulation.Resume(node);
      simulation.Run(until);
      return;
  }
}

auto RunDay(const DetectionSimulationOptions& options, std::uint64_t seed)
    -> EjectionCounts {
  Random random(seed);
  DetectionSimulation simulation(options, random.Next());
  EjectionCounts counts;
  for (int period = 0; period < kPeriodsPerDay; ++period) {
    const auto end = simulation.Now() + kPeriod;
    simulation.SetRate(kFullRate);
    simulation.Run(simulation.Now() + kWarmUp);
    auto before = simulation.TotalEjectionCount();
    const auto kind = static_cast<Disturbance>(random.Below(kDisturbanceKinds));
    InjectDisturbance(simulation, kind, random);
    simulation.Run(simulation.Now() + kRecoveryTime);
    counts.false_ejections[static_cast<std::size_t>(kind)] +=
        simulation.TotalEjectionCount() - before;
    before = simulation.TotalEjectionCount();
    simulation.SetRate(kLowRate);
    simulation.Run(end);
    counts.false_ejections_between += simulation.TotalEjectionCount() - before;
    ++counts.periods;
  }
  counts.attempts = simulation.Attempts();
  return counts;
}

// Runs the days of one profile on kThreads threads.
auto RunDays(const DetectionProfile& profile, std::uint64_t seed)
    -> EjectionCounts {
  constexpr int kThreads = 3;
  std::vector<std::function<EjectionCounts()>> days;
  Random random(seed);
  // The services take turns, one per day.
  for (std::size_t day = 0; day < kDays; ++day) {
    auto options = MakeSimulationOptions(
        profile, profile.services[day % profile.services.size()]);
    options.rate = kLowRate;
    days.emplace_back([options, day_seed = random.Next()] {
      return RunDay(options, day_seed);
    });
  }
  std::vector<std::future<EjectionCounts>> workers;
  for (int worker = 0; worker < kThreads; ++worker) {
    workers.push_back(std::async(std::launch::async, [&days, worker] {
      EjectionCounts sum;
      for (auto day = static_cast<std::size_t>(worker); day < days.size();
           day += kThreads) {
        sum += days[day]();
      }
      return sum;
    }));
  }
  EjectionCounts counts;
  for (auto& worker : workers) {
    counts += worker.get();
  }
  return counts;
}

auto MeasureFalseEjections(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measurement> {
  const auto counts = RunDays(profile, seed);
  std::vector<Measurement> measurements;
  std::uint64_t sum = counts.false_ejections_between;
  for (std::size_t i = 0; i < kDisturbanceKinds; ++i) {
    sum += counts.false_ejections[i];
    const auto kind = static_cast<Disturbance>(i);
    measurements.push_back(MakeMeasurement(
        "ejection", profile, "mistakes: " + std::string(ToName(kind)), "",
        static_cast<double>(counts.false_ejections[i])));
  }
  measurements.push_back(
      MakeMeasurement("ejection", profile, "mistakes: between them", "",
                      static_cast<double>(counts.false_ejections_between)));
  measurements.push_back(MakeMeasurement("ejection", profile, "disturbances",
                                         "",
                                         static_cast<double>(counts.periods)));
  measurements.push_back(MakeMeasurement("ejection", profile, "attempts", "",
                                         static_cast<double>(counts.attempts)));
  measurements.push_back(
      WithUpperBound(MakeMeasurement("ejection", profile,
                                     "healthy upstreams ejected in ten days",
                                     "", static_cast<double>(sum)),
                     0));
  return measurements;
}

// One node receives the drain signal of a target while messages are lost.
// Counts the attempts that start on the target more than 2 s later.
auto MeasureDrain(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measurement> {
  constexpr int kTrials = 30;
  constexpr auto kDrainGrace = std::chrono::seconds(2);
  Random random(seed);
  std::uint64_t late = 0;
  std::uint64_t early = 0;
  for (const auto& service : profile.services) {
    for (int trial = 0; trial < kTrials; ++trial) {
      DetectionSimulation simulation(MakeSimulationOptions(profile, service),
                                     random.Next());
      simulation.SetMeshFaults(0.2, 0.2);
      simulation.Run(simulation.Now() + std::chrono::seconds(5));
      const auto target = random.Below(simulation.TargetCount());
      auto before = simulation.StartedAttempts(target);
      simulation.Drain(random.Below(simulation.NodeCount()), target, true);
      simulation.Run(simulation.Now() + kDrainGrace);
      early += simulation.StartedAttempts(target) - before;
      before = simulation.StartedAttempts(target);
      simulation.Run(simulation.Now() + std::chrono::seconds(20));
      late += simulation.StartedAttempts(target) - before;
    }
  }
  return {MakeMeasurement("ejection", profile,
                          "new work within 2 s of a drain signal, 20% loss", "",
                          static_cast<double>(early)),
          WithUpperBound(
              MakeMeasurement("ejection", profile,
                              "new work after 2 s of a drain signal, 20% loss",
                              "", static_cast<double>(late)),
              0)};
}

// A target fails for 20 s and recovers for 20 s, alternating for 20 minutes.
// The baseline is a fixed ejection time, which gives one ejection per cycle.
auto MeasureFlappingTarget(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measurement> {
  constexpr int kCycles = 30;
  constexpr auto kHalfCycle = std::chrono::seconds(20);
  DetectionSimulation simulation(
      MakeSimulationOptions(profile, profile.services.front()), seed);
  simulation.Run(simulation.Now() + kWarmUp);
  std::uint64_t attempts_while_failing = 0;
  const auto before = simulation.EjectionCount(0);
  const auto probes = simulation.ProbeCount(0);
  for (int cycle = 0; cycle < kCycles; ++cycle) {
    const auto started = simulation.StartedAttempts(0);
    simulation.Upstream(0).failure_rate = 0.3;
    simulation.Run(simulation.Now() + kHalfCycle);
    attempts_while_failing += simulation.StartedAttempts(0) - started;
    simulation.Upstream(0).failure_rate = FakeUpstream().failure_rate;
    simulation.Run(simulation.Now() + kHalfCycle);
  }
  const auto rate = static_cast<double>(simulation.ProbeCount(0) - probes) /
                    ToSeconds(2 * kCycles * Duration(kHalfCycle));
  return {
      WithBaseline(
          MakeMeasurement(
              "ejection", profile, "ejections of a flapping target, 30 turns",
              "", static_cast<double>(simulation.EjectionCount(0) - before)),
          "turns", kCycles),
      WithBaseline(MakeMeasurement("ejection", profile,
                                   "work on a flapping target while ill", "",
                                   static_cast<double>(attempts_while_failing)),
                   "without ejection",
                   kFullRate * kCycles * ToSeconds(Duration(kHalfCycle))),
      MakeMeasurement("ejection", profile, "probes of a flapping target", "1/s",
                      rate)};
}

// Measures the probe rates of a target that stops for ten minutes and of an
// idle target.
auto MeasureProbes(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measurement> {
  constexpr auto kTime = std::chrono::minutes(10);
  auto options = MakeSimulationOptions(profile, profile.services.front());
  options.rate = kLowRate;
  DetectionSimulation simulation(options, seed);
  simulation.Run(simulation.Now() + kWarmUp);
  simulation.Upstream(0).is_silent = true;
  const auto stopped = simulation.ProbeCount(0);
  const auto idle = simulation.ProbeCount(1);
  simulation.Run(simulation.Now() + kTime);
  const auto seconds = ToSeconds(Duration(kTime));
  const auto rate_of = [&](std::uint64_t count) {
    return static_cast<double>(count) / seconds;
  };
  return {
      WithUpperBound(
          MakeMeasurement("ejection", profile, "probes of a stopped target",
                          "1/s", rate_of(simulation.ProbeCount(0) - stopped)),
          ProbeBudget::kFleetProbesPerSecond),
      WithUpperBound(
          MakeMeasurement("ejection", profile, "probes of an idle target",
                          "1/s", rate_of(simulation.ProbeCount(1) - idle)),
          ProbeBudget::kFleetProbesPerSecond),
      WithUpperBound(
          MakeMeasurement(
              "ejection", profile, "most probes of a target in one second",
              "1/s", static_cast<double>(simulation.MaxProbesInOneSecond())),
          ProbeBudget::kFleetProbesPerSecond)};
}

}  // namespace

auto RunEjectionBench(std::uint64_t seed) -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  for (const auto& profile : kDetectionProfiles) {
    for (const auto& measure_part : {MeasureDrain, MeasureFlappingTarget,
                                     MeasureProbes, MeasureFalseEjections}) {
      const auto figures = measure_part(profile, seed);
      measurements.insert(measurements.end(), figures.begin(), figures.end());
    }
  }
  return measurements;
}

}  // namespace flamingoyoke
