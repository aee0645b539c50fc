#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <future>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bench/benches.h"
#include "bench/detection_profiles.h"
#include "bench/detection_world.h"
#include "bench/ideal_cusum.h"

namespace flamingoyoke {
namespace {

constexpr int kTrialsPerService = 200;
constexpr auto kWarmUp = std::chrono::seconds(15);
// A trial that takes longer counts with this time.
constexpr auto kLongestTrial = std::chrono::seconds(60);
constexpr double kRate = 20;

using Fault = std::function<void(DetectionWorld&, std::size_t target)>;

// Returns the detection times of one service; see DetectionTimes().
auto ServiceTimes(const DetectionSetting& setting,
                  const Fault& fault,
                  std::uint64_t seed) -> std::vector<double> {
  std::vector<double> times;
  Random random(seed);
  for (int i = 0; i < kTrialsPerService; ++i) {
    DetectionWorld world(setting, random.Next());
    world.Run(world.Now() + kWarmUp +
              std::chrono::microseconds(random.Below(1'000'000)));
    const auto target = random.Below(setting.targets);
    const auto start = world.Now();
    fault(world, target);
    world.Run(start + kLongestTrial, [&] { return world.IsOutOfUse(target); });
    times.push_back(ToSeconds(world.Now() - start));
  }
  return times;
}

// Returns the times from a fault of one target until no home node uses it, in
// seconds, over all services of the profile.
auto DetectionTimes(const DetectionProfile& profile,
                    const Fault& fault,
                    double rate,
                    std::uint64_t seed) -> std::vector<double> {
  std::vector<std::future<std::vector<double>>> runs;
  Random random(seed);
  for (const auto& service : profile.services) {
    auto setting = SettingOf(profile, service);
    setting.rate = rate;
    runs.push_back(std::async(std::launch::async, ServiceTimes, setting, fault,
                              random.Next()));
  }
  std::vector<double> times;
  for (auto& run : runs) {
    const auto part = run.get();
    times.insert(times.end(), part.begin(), part.end());
  }
  return times;
}

auto StopMeasures(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measure> {
  constexpr double kMedianBound = 0.5;
  constexpr double kP99Bound = 1;
  std::vector<Measure> measures;
  const auto silent = DetectionTimes(
      profile,
      [](auto& world, auto target) { world.Upstream(target).is_silent = true; },
      kRate, seed);
  measures.push_back(
      AtMost(MeasureOf("detection", profile, "silent stop, median", "s",
                       Quantile(silent, 0.5)),
             kMedianBound));
  measures.push_back(AtMost(MeasureOf("detection", profile, "silent stop, p99",
                                      "s", Quantile(silent, 0.99)),
                            kP99Bound));
  const auto refused = DetectionTimes(
      profile,
      [](auto& world, auto target) {
        world.Upstream(target).is_refusing = true;
      },
      kRate, seed + 1);
  measures.push_back(
      AtMost(MeasureOf("detection", profile, "refusing stop, median", "s",
                       Quantile(refused, 0.5)),
             kMedianBound));
  measures.push_back(
      AtMost(MeasureOf("detection", profile, "refusing stop, p99", "s",
                       Quantile(refused, 0.99)),
             kP99Bound));
  constexpr double kHardlyAnyWork = 0.01;
  const auto idle = DetectionTimes(
      profile,
      [](auto& world, auto target) { world.Upstream(target).is_silent = true; },
      kHardlyAnyWork, seed + 2);
  measures.push_back(MeasureOf("detection", profile,
                               "silent stop without work, median", "s",
                               Quantile(idle, 0.5)));
  measures.push_back(MeasureOf("detection", profile,
                               "silent stop without work, p99", "s",
                               Quantile(idle, 0.99)));
  return measures;
}

auto GrayMeasures(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measure> {
  constexpr double kMedianBound = 1.5;
  constexpr double kP99Bound = 4;
  // One false alarm in ten days over 24 targets with 20 requests/s each.
  constexpr double kOutcomes = 10.0 * 86400 * 24 * kRate;
  constexpr int kExcursions = 4000;
  constexpr int kBaselineTrials = 20000;
  constexpr int kInARow = 5;
  const auto gray = DetectionTimes(
      profile,
      [](auto& world, auto target) {
        world.Upstream(target).failure_rate = 0.3;
      },
      kRate, seed + 3);
  IdealCusum ideal;
  ideal.threshold = ThresholdFor(ideal, kOutcomes, kExcursions, seed);
  const auto best = IdealDetectionTimes(ideal, kRate, kBaselineTrials, seed);
  const auto naive = ConsecutiveDetectionTimes(kInARow, ideal.ill_rate, kRate,
                                               kBaselineTrials, seed);
  std::vector<Measure> measures;
  measures.push_back(
      Against(AtMost(MeasureOf("detection", profile, "gray target, median", "s",
                               Quantile(gray, 0.5)),
                     kMedianBound),
              "ideal CUSUM", Quantile(best, 0.5)));
  measures.push_back(
      Against(AtMost(MeasureOf("detection", profile, "gray target, p99", "s",
                               Quantile(gray, 0.99)),
                     kP99Bound),
              "ideal CUSUM", Quantile(best, 0.99)));
  measures.push_back(MeasureOf("detection", profile,
                               "baseline: 5 failures in a row, median", "s",
                               Quantile(naive, 0.5)));
  measures.push_back(MeasureOf("detection", profile,
                               "baseline: 5 failures in a row, p99", "s",
                               Quantile(naive, 0.99)));
  // Without the comparison with the peers, which only lowers the figure.
  IdealCusum plain;
  plain.threshold = Cusum::kThreshold;
  measures.push_back(Against(
      MeasureOf("detection", profile, "false alarms of the plain test, 10 days",
                "",
                kOutcomes / OutcomesPerFalseAlarm(plain, kExcursions, seed)),
      "bound of the ideal CUSUM", 1));
  return measures;
}

auto OtherFaultMeasures(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measure> {
  std::vector<Measure> measures;
  const auto add = [&](const std::string& name, const Fault& fault,
                       std::uint64_t offset) {
    const auto times = DetectionTimes(profile, fault, kRate, seed + offset);
    measures.push_back(MeasureOf("detection", profile, name + ", median", "s",
                                 Quantile(times, 0.5)));
    measures.push_back(MeasureOf("detection", profile, name + ", p99", "s",
                                 Quantile(times, 0.99)));
  };
  add(
      "slow target (x10)",
      [](auto& world, auto target) { world.Upstream(target).slow_factor = 10; },
      4);
  add(
      "work hangs while probes pass",
      [](auto& world, auto target) {
        world.Upstream(target).is_hanging = true;
      },
      5);
  return measures;
}

}  // namespace

auto RunDetectionBench(std::uint64_t seed) -> std::vector<Measure> {
  std::vector<Measure> measures;
  for (const auto& profile : kDetectionProfiles) {
    for (const auto& part : {StopMeasures, GrayMeasures, OtherFaultMeasures}) {
      const auto figures = part(profile, seed);
      measures.insert(measures.end(), figures.begin(), figures.end());
    }
  }
  return measures;
}

}  // namespace flamingoyoke
