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
#include "bench/detection_world.h"
#include "core/name_table.h"

namespace flamingoyoke {
namespace {

// Faults that are not the upstreams' own.
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

constexpr std::size_t kKinds = kEnumSize<Disturbance>;
// A disturbance every ten minutes: 20 s at full load after 15 s of warm-up.
// Between them the load is low, to keep the run short.
constexpr auto kPeriod = std::chrono::minutes(10);
constexpr auto kWarmUp = std::chrono::seconds(15);
constexpr auto kLength = std::chrono::seconds(20);
constexpr auto kAftermath = std::chrono::seconds(10);
constexpr double kFullRate = 20;
constexpr double kLowRate = 0.1;
constexpr int kDays = 10;
constexpr int kPeriodsPerDay = 144;

struct Tally {
  std::array<std::uint64_t, kKinds> mistakes = {};
  std::uint64_t quiet_mistakes = 0;
  std::uint64_t attempts = 0;
  std::uint64_t periods = 0;

  auto operator+=(const Tally& other) -> Tally& {
    for (std::size_t i = 0; i < kKinds; ++i) {
      mistakes[i] += other.mistakes[i];
    }
    quiet_mistakes += other.quiet_mistakes;
    attempts += other.attempts;
    periods += other.periods;
    return *this;
  }
};

auto Flap(DetectionWorld& world, std::size_t node, Random& random) -> void {
  const auto domain = random.Below(world.Nodes());
  const auto end = world.Now() + kLength;
  bool is_cut = false;
  while (world.Now() < end) {
    is_cut = !is_cut;
    for (std::size_t target = 0; target < world.Targets(); ++target) {
      if (world.DomainOf(target) == domain) {
        world.SetPathCut(node, target, is_cut);
      }
    }
    world.Run(world.Now() +
              std::chrono::milliseconds(100 + random.Below(3000)));
  }
}

auto SetCuts(DetectionWorld& world,
             std::size_t node,
             std::size_t domain,
             bool all,
             bool cut) -> void {
  for (std::size_t target = 0; target < world.Targets(); ++target) {
    if (all || world.DomainOf(target) == domain) {
      world.SetPathCut(node, target, cut);
    }
  }
}

// Applies `change` to all upstreams for the length of a disturbance.
auto Change(DetectionWorld& world,
            const std::function<void(FakeUpstream&)>& change) -> void {
  for (std::size_t target = 0; target < world.Targets(); ++target) {
    change(world.Upstream(target));
  }
  world.Run(world.Now() + kLength);
  for (std::size_t target = 0; target < world.Targets(); ++target) {
    world.Upstream(target) = FakeUpstream();
  }
}

auto Disturb(DetectionWorld& world, Disturbance kind, Random& random) -> void {
  const auto node = random.Below(world.Nodes());
  const auto other =
      (node + 1 + random.Below(world.Nodes() - 1)) % world.Nodes();
  const auto until = world.Now() + kLength;
  switch (kind) {
    case Disturbance::kFlappingLink:
      Flap(world, node, random);
      SetCuts(world, node, 0, true, false);
      return;
    case Disturbance::kCutFromDomain:
    case Disturbance::kCutFromAll: {
      const bool all = kind == Disturbance::kCutFromAll;
      SetCuts(world, node, other, all, true);
      world.Run(until);
      SetCuts(world, node, other, all, false);
      return;
    }
    case Disturbance::kMeshCut:
      world.SetMeshCut(node, other, true);
      world.Run(until);
      world.SetMeshCut(node, other, false);
      return;
    case Disturbance::kMeshFaults:
      world.SetMeshFaults(0.2, 0.2);
      world.Run(until);
      world.SetMeshFaults(0, 0);
      return;
    case Disturbance::kSlowService: {
      const double factor = 3 + random.Unit() * 12;
      Change(world, [&](auto& upstream) { upstream.slow_factor = factor; });
      return;
    }
    case Disturbance::kFailingService: {
      const double rate = 0.1 + random.Unit() * 0.8;
      Change(world, [&](auto& upstream) { upstream.failure_rate = rate; });
      return;
    }
    case Disturbance::kCallerFaults:
      world.SetCallerFaults(node, 0.1 + random.Unit() * 0.8);
      world.Run(until);
      world.SetCallerFaults(node, 0);
      return;
    case Disturbance::kSilentConnections:
      for (std::size_t target = 0; target < world.Targets(); ++target) {
        world.SilenceConnections(node, target);
      }
      world.Run(until);
      return;
    case Disturbance::kPause:
      world.Pause(node);
      world.Run(world.Now() +
                std::chrono::milliseconds(500 + random.Below(15'000)));
      world.Resume(node);
      world.Run(until);
      return;
  }
}

auto RunDay(const DetectionSetting& setting, std::uint64_t seed) -> Tally {
  Random random(seed);
  DetectionWorld world(setting, random.Next());
  Tally tally;
  for (int period = 0; period < kPeriodsPerDay; ++period) {
    const auto end = world.Now() + kPeriod;
    world.SetRate(kFullRate);
    world.Run(world.Now() + kWarmUp);
    auto before = world.TotalEjections();
    const auto kind = static_cast<Disturbance>(random.Below(kKinds));
    Disturb(world, kind, random);
    world.Run(world.Now() + kAftermath);
    tally.mistakes[static_cast<std::size_t>(kind)] +=
        world.TotalEjections() - before;
    before = world.TotalEjections();
    world.SetRate(kLowRate);
    world.Run(end);
    tally.quiet_mistakes += world.TotalEjections() - before;
    ++tally.periods;
  }
  tally.attempts = world.Attempts();
  return tally;
}

// Runs the days of one profile on a few threads.
auto RunDays(const DetectionProfile& profile, std::uint64_t seed) -> Tally {
  constexpr int kThreads = 3;
  std::vector<std::function<Tally()>> days;
  Random random(seed);
  // Each day runs one service, in turn.
  for (std::size_t day = 0; day < kDays; ++day) {
    auto setting =
        SettingOf(profile, profile.services[day % profile.services.size()]);
    setting.rate = kLowRate;
    days.emplace_back([setting, day_seed = random.Next()] {
      return RunDay(setting, day_seed);
    });
  }
  std::vector<std::future<Tally>> workers;
  for (int worker = 0; worker < kThreads; ++worker) {
    workers.push_back(std::async(std::launch::async, [&days, worker] {
      Tally sum;
      for (auto day = static_cast<std::size_t>(worker); day < days.size();
           day += kThreads) {
        sum += days[day]();
      }
      return sum;
    }));
  }
  Tally tally;
  for (auto& worker : workers) {
    tally += worker.get();
  }
  return tally;
}

auto MistakeMeasures(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measure> {
  const auto tally = RunDays(profile, seed);
  std::vector<Measure> measures;
  std::uint64_t sum = tally.quiet_mistakes;
  for (std::size_t i = 0; i < kKinds; ++i) {
    sum += tally.mistakes[i];
    const auto kind = static_cast<Disturbance>(i);
    measures.push_back(MeasureOf("ejection", profile,
                                 "mistakes: " + std::string(ToName(kind)), "",
                                 static_cast<double>(tally.mistakes[i])));
  }
  measures.push_back(MeasureOf("ejection", profile, "mistakes: between them",
                               "", static_cast<double>(tally.quiet_mistakes)));
  measures.push_back(MeasureOf("ejection", profile, "disturbances", "",
                               static_cast<double>(tally.periods)));
  measures.push_back(MeasureOf("ejection", profile, "attempts", "",
                               static_cast<double>(tally.attempts)));
  measures.push_back(AtMost(
      MeasureOf("ejection", profile, "healthy upstreams ejected in ten days",
                "", static_cast<double>(sum)),
      0));
  return measures;
}

// One node gets the drain signal of a target while messages are lost; counts
// work that starts on it later than 2 s after.
auto DrainMeasures(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measure> {
  constexpr int kTrials = 30;
  constexpr auto kAllowed = std::chrono::seconds(2);
  Random random(seed);
  std::uint64_t late = 0;
  std::uint64_t early = 0;
  for (const auto& service : profile.services) {
    for (int trial = 0; trial < kTrials; ++trial) {
      DetectionWorld world(SettingOf(profile, service), random.Next());
      world.SetMeshFaults(0.2, 0.2);
      world.Run(world.Now() + std::chrono::seconds(5));
      const auto target = random.Below(world.Targets());
      auto before = world.Started(target);
      world.Drain(random.Below(world.Nodes()), target, true);
      world.Run(world.Now() + kAllowed);
      early += world.Started(target) - before;
      before = world.Started(target);
      world.Run(world.Now() + std::chrono::seconds(20));
      late += world.Started(target) - before;
    }
  }
  return {MeasureOf("ejection", profile,
                    "new work within 2 s of a drain signal, 20% loss", "",
                    static_cast<double>(early)),
          AtMost(MeasureOf("ejection", profile,
                           "new work after 2 s of a drain signal, 20% loss", "",
                           static_cast<double>(late)),
                 0)};
}

// A target is ill for 20 s and well for 20 s in turn, for 20 minutes. The
// baseline is an ejection time that does not grow: one ejection per turn.
auto FlappingMeasures(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measure> {
  constexpr int kTurns = 30;
  constexpr auto kHalfTurn = std::chrono::seconds(20);
  DetectionWorld world(SettingOf(profile, profile.services.front()), seed);
  world.Run(world.Now() + kWarmUp);
  std::uint64_t ill = 0;
  const auto before = world.Ejections(0);
  const auto probes = world.Probes(0);
  for (int turn = 0; turn < kTurns; ++turn) {
    const auto started = world.Started(0);
    world.Upstream(0).failure_rate = 0.3;
    world.Run(world.Now() + kHalfTurn);
    ill += world.Started(0) - started;
    world.Upstream(0).failure_rate = FakeUpstream().failure_rate;
    world.Run(world.Now() + kHalfTurn);
  }
  const auto rate = static_cast<double>(world.Probes(0) - probes) /
                    ToSeconds(2 * kTurns * Duration(kHalfTurn));
  return {Against(MeasureOf("ejection", profile,
                            "ejections of a flapping target, 30 turns", "",
                            static_cast<double>(world.Ejections(0) - before)),
                  "turns", kTurns),
          Against(MeasureOf("ejection", profile,
                            "work on a flapping target while ill", "",
                            static_cast<double>(ill)),
                  "without ejection",
                  kFullRate * kTurns * ToSeconds(Duration(kHalfTurn))),
          MeasureOf("ejection", profile, "probes of a flapping target", "1/s",
                    rate)};
}

// Probes of one target that stops for ten minutes, and of idle ones.
auto ProbeMeasures(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measure> {
  constexpr auto kTime = std::chrono::minutes(10);
  auto setting = SettingOf(profile, profile.services.front());
  setting.rate = kLowRate;
  DetectionWorld world(setting, seed);
  world.Run(world.Now() + kWarmUp);
  world.Upstream(0).is_silent = true;
  const auto stopped = world.Probes(0);
  const auto idle = world.Probes(1);
  world.Run(world.Now() + kTime);
  const auto seconds = ToSeconds(Duration(kTime));
  const auto rate_of = [&](std::uint64_t count) {
    return static_cast<double>(count) / seconds;
  };
  return {AtMost(MeasureOf("ejection", profile, "probes of a stopped target",
                           "1/s", rate_of(world.Probes(0) - stopped)),
                 ProbeBudget::kFleetProbesPerSecond),
          AtMost(MeasureOf("ejection", profile, "probes of an idle target",
                           "1/s", rate_of(world.Probes(1) - idle)),
                 ProbeBudget::kFleetProbesPerSecond),
          AtMost(MeasureOf("ejection", profile,
                           "most probes of a target in one second", "1/s",
                           static_cast<double>(world.MostProbesInOneSecond())),
                 ProbeBudget::kFleetProbesPerSecond)};
}

}  // namespace

auto RunEjectionBench(std::uint64_t seed) -> std::vector<Measure> {
  std::vector<Measure> measures;
  for (const auto& profile : kDetectionProfiles) {
    for (const auto& part :
         {DrainMeasures, FlappingMeasures, ProbeMeasures, MistakeMeasures}) {
      const auto figures = part(profile, seed);
      measures.insert(measures.end(), figures.begin(), figures.end());
    }
  }
  return measures;
}

}  // namespace flamingoyoke
