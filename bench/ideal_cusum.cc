#include "bench/ideal_cusum.h"

#include <algorithm>
#include <cmath>

#include "core/random.h"

namespace flamingoyoke {
namespace {

struct Steps {
  double up = 0;
  double down = 0;
};

auto StepsOf(const IdealCusum& cusum) -> Steps {
  return {std::log(cusum.ill_rate / cusum.healthy_rate),
          std::log((1 - cusum.ill_rate) / (1 - cusum.healthy_rate))};
}

}  // namespace

auto OutcomesPerFalseAlarm(const IdealCusum& cusum,
                           int excursions,
                           std::uint64_t seed) -> double {
  Random random(seed);
  const auto steps = StepsOf(cusum);
  double alarm_share = 0;
  for (int i = 0; i < excursions; ++i) {
    // Every excursion from zero begins with a failure; the rest is drawn as
    // if the target were ill and weighted by the likelihood ratio.
    double value = steps.up;
    double ratio = 0;
    while (value > 0 && value < cusum.threshold) {
      const double step =
          random.Unit() < cusum.ill_rate ? steps.up : steps.down;
      value += step;
      ratio += step;
    }
    alarm_share += value > 0 ? std::exp(-ratio) : 0;
  }
  alarm_share /= excursions;
  return 1 / (cusum.healthy_rate * alarm_share);
}

auto ThresholdFor(IdealCusum cusum,
                  double outcomes,
                  int excursions,
                  std::uint64_t seed) -> double {
  constexpr double kStep = 0.1;
  for (cusum.threshold = 1;; cusum.threshold += kStep) {
    if (OutcomesPerFalseAlarm(cusum, excursions, seed) >= outcomes) {
      return cusum.threshold;
    }
  }
}

auto IdealDetectionTimes(const IdealCusum& cusum,
                         double rate,
                         int trials,
                         std::uint64_t seed) -> std::vector<double> {
  Random random(seed);
  const auto steps = StepsOf(cusum);
  std::vector<double> times;
  for (int i = 0; i < trials; ++i) {
    double value = 0;
    double time = 0;
    while (value < cusum.threshold) {
      time -= std::log(1 - random.Unit()) / rate;
      value += random.Unit() < cusum.ill_rate ? steps.up : steps.down;
      value = std::max(value, 0.0);
    }
    times.push_back(time);
  }
  return times;
}

auto ConsecutiveDetectionTimes(int failures,
                               double ill_rate,
                               double rate,
                               int trials,
                               std::uint64_t seed) -> std::vector<double> {
  Random random(seed);
  std::vector<double> times;
  for (int i = 0; i < trials; ++i) {
    int in_a_row = 0;
    double time = 0;
    while (in_a_row < failures) {
      time -= std::log(1 - random.Unit()) / rate;
      in_a_row = random.Unit() < ill_rate ? in_a_row + 1 : 0;
    }
    times.push_back(time);
  }
  return times;
}

}  // namespace flamingoyoke
