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
#include "bench/detection_simulation.h"
#include "bench/ideal_cusum.h"

namespace flamingoyoke {
namespace {

constexpr int kTrialsPerService = 200;
constexpr auto kWarmUp = std::chrono::seconds(15);
// A trial without detection ends after this time and counts with it.
constexpr auto kTrialTimeout = std::chrono::seconds(60);
constexpr double kRate = 20;

using Fault = std::function<void(DetectionSimulation&, std::size_t target)>;

// Returns the detection times of one service; see DetectionTimes().
auto ServiceDetectionTimes(const DetectionSimulationOptions& options,
                           const Fault& fault,
                           std::uint64_t seed) -> std::vector<double> {
  std::vector<double> times;
  Random random(seed);
  for (int i = 0; i < kTrialsPerService; ++i) {
    DetectionSimulation simulation(options, random.Next());
    simulation.Run(simulation.Now() + kWarmUp +
                   std::chrono::microseconds(random.Below(1'000'000)));
    const auto target = random.Below(options.targets);
    const auto start = simulation.Now();
    fault(simulation, target);
    simulation.Run(start + kTrialTimeout,
                   [&] { return simulation.IsUnused(target); });
    times.push_back(ToSeconds(simulation.Now() - start));
  }
  return times;
}

// Returns the times in seconds from a fault of one target until no home node
// uses it, for all services of the profile.
auto DetectionTimes(const DetectionProfile& profile,
                    const Fault& fault,
                    double rate,
                    std::uint64_t seed) -> std::vector<double> {
  std::vector<std::future<std::vector<double>>> runs;
  Random random(seed);
  for (const auto& service : profile.services) {
    auto options = MakeSimulationOptions(profile, service);
    options.rate = rate;
    runs.push_back(std::async(std::launch::async, ServiceDetectionTimes,
                              options, fault, random.Next()));
  }
  std::vector<double> times;
  for (auto& run : runs) {
    const auto measure_part = run.get();
    times.insert(times.end(), measure_part.begin(), measure_part.end());
  }
  return times;
}

auto MeasureStops(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measurement> {
  constexpr double kMedianBound = 0.5;
  constexpr double kP99Bound = 1;
  std::vector<Measurement> measurements;
  const auto silent = DetectionTimes(
      profile,
      [](auto& simulation, auto target) {
        simulation.Upstream(target).is_silent = true;
      },
      kRate, seed);
  measurements.push_back(WithUpperBound(
      MakeMeasurement("detection", profile, "silent stop, median", "s",
                      Quantile(silent, 0.5)),
      kMedianBound));
  measurements.push_back(
      WithUpperBound(MakeMeasurement("detection", profile, "silent stop, p99",
                                     "s", Quantile(silent, 0.99)),
                     kP99Bound));
  const auto refused = DetectionTimes(
      profile,
      [](auto& simulation, auto target) {
        simulation.Upstream(target).is_refusing = true;
      },
      kRate, seed + 1);
  measurements.push_back(WithUpperBound(
      MakeMeasurement("detection", profile, "refusing stop, median", "s",
                      Quantile(refused, 0.5)),
      kMedianBound));
  measurements.push_back(
      WithUpperBound(MakeMeasurement("detection", profile, "refusing stop, p99",
                                     "s", Quantile(refused, 0.99)),
                     kP99Bound));
  constexpr double kNearIdleRate = 0.01;
  const auto idle = DetectionTimes(
      profile,
      [](auto& simulation, auto target) {
        simulation.Upstream(target).is_silent = true;
      },
      kNearIdleRate, seed + 2);
  measurements.push_back(MakeMeasurement("detection", profile,
                                         "silent stop without work, median",
                                         "s", Quantile(idle, 0.5)));
  measurements.push_back(MakeMeasurement("detection", profile,
                                         "silent stop without work, p99", "s",
                                         Quantile(idle, 0.99)));
  return measurements;
}

auto MeasureGrayTargets(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measurement> {
  constexpr double kMedianBound = 1.5;
  constexpr double kP99Bound = 4;
  // Allows one false alarm in ten days over 24 targets with 20 requests/s each.
  constexpr double kOutcomes = 10.0 * 86400 * 24 * kRate;
  constexpr int kExcursions = 4000;
  constexpr int kBaselineTrials = 20000;
  constexpr int kConsecutiveFailures = 5;
  const auto gray = DetectionTimes(
      profile,
      [](auto& simulation, auto target) {
        simulation.Upstream(target).failure_rate = 0.3;
      },
      kRate, seed + 3);
  IdealCusum ideal;
  ideal.threshold = FindThreshold(ideal, kOutcomes, kExcursions, seed);
  const auto ideal_times =
      IdealDetectionTimes(ideal, kRate, kBaselineTrials, seed);
  const auto consecutive_times = ConsecutiveDetectionTimes(
      kConsecutiveFailures, ideal.failing_rate, kRate, kBaselineTrials, seed);
  std::vector<Measurement> measurements;
  measurements.push_back(WithBaseline(
      WithUpperBound(
          MakeMeasurement("detection", profile, "gray target, median", "s",
                          Quantile(gray, 0.5)),
          kMedianBound),
      "ideal CUSUM", Quantile(ideal_times, 0.5)));
  measurements.push_back(WithBaseline(
      WithUpperBound(MakeMeasurement("detection", profile, "gray target, p99",
                                     "s", Quantile(gray, 0.99)),
                     kP99Bound),
      "ideal CUSUM", Quantile(ideal_times, 0.99)));
  measurements.push_back(MakeMeasurement(
      "detection", profile, "baseline: 5 failures in a row, median", "s",
      Quantile(consecutive_times, 0.5)));
  measurements.push_back(MakeMeasurement(
      "detection", profile, "baseline: 5 failures in a row, p99", "s",
      Quantile(consecutive_times, 0.99)));
  // Leaves out the comparison with the peers, which can only lower the number
  // of false alarms.
  IdealCusum plain;
  plain.threshold = Cusum::kThreshold;
  measurements.push_back(WithBaseline(
      MakeMeasurement(
          "detection", profile, "false alarms of the plain test, 10 days", "",
          kOutcomes / OutcomesPerFalseAlarm(plain, kExcursions, seed)),
      "bound of the ideal CUSUM", 1));
  return measurements;
}

auto MeasureOtherFaults(const DetectionProfile& profile, std::uint64_t seed)
    -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  const auto add = [&](const std::string& name, const Fault& fault,
                       std::uint64_t offset) {
    const auto times = DetectionTimes(profile, fault, kRate, seed + offset);
    measurements.push_back(MakeMeasurement(
        "detection", profile, name + ", median", "s", Quantile(times, 0.5)));
    measurements.push_back(MakeMeasurement("detection", profile, name + ", p99",
                                           "s", Quantile(times, 0.99)));
  };
  add(
      "slow target (x10)",
      [](auto& simulation, auto target) {
        simulation.Upstream(target).slow_factor = 10;
      },
      4);
  add(
      "work hangs while probes pass",
      [](auto& simulation, auto target) {
        simulation.Upstream(target).is_hanging = true;
      },
      5);
  return measurements;
}

}  // namespace

auto RunDetectionBench(std::uint64_t seed) -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  for (const auto& profile : kDetectionProfiles) {
    for (const auto& measure_part :
         {MeasureStops, MeasureGrayTargets, MeasureOtherFaults}) {
      const auto figures = measure_part(profile, seed);
      measurements.insert(measurements.end(), figures.begin(), figures.end());
    }
  }
  return measurements;
}

}  // namespace flamingoyoke
