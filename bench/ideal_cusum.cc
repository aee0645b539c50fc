#include "bench/ideal_cusum.h"

#include <algorithm>
#include <cmath>

#include "core/random.h"

namespace flamingoyoke {
namespace {

// Change of the statistic per outcome, a log-likelihood ratio.
struct LogLikelihoodSteps {
  double on_failure = 0;
  double on_success = 0;
};

auto LogLikelihoodStepsOf(const IdealCusum& cusum) -> LogLikelihoodSteps {
  return {std::log(cusum.failing_rate / cusum.healthy_rate),
          std::log((1 - cusum.failing_rate) / (1 - cusum.healthy_rate))};
}

}  // namespace

auto OutcomesPerFalseAlarm(const IdealCusum& cusum,
                           int excursions,
                           std::uint64_t seed) -> double {
  Random random(seed);
  const auto steps = LogLikelihoodStepsOf(cusum);
  double alarm_probability = 0;
  for (int i = 0; i < excursions; ++i) {
    // Every excursion from zero begins with a failure. The later outcomes are
    // drawn with the rate of a failing target and weighted by the likelihood
    // ratio.
    double value = steps.on_failure;
    double log_ratio = 0;
    while (value > 0 && value < cusum.threshold) {
      const double step = random.Unit() < cusum.failing_rate ? steps.on_failure
                                                             : steps.on_success;
      value += step;
      log_ratio += step;
    }
    alarm_probability += value > 0 ? std::exp(-log_ratio) : 0;
  }
  alarm_probability /= excursions;
  return 1 / (cusum.healthy_rate * alarm_probability);
}

auto FindThreshold(IdealCusum cusum,
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
  const auto steps = LogLikelihoodStepsOf(cusum);
  std::vector<double> times;
  for (int i = 0; i < trials; ++i) {
    double value = 0;
    double time = 0;
    while (value < cusum.threshold) {
      time -= std::log(1 - random.Unit()) / rate;
      value += random.Unit() < cusum.failing_rate ? steps.on_failure
                                                  : steps.on_success;
      value = std::max(value, 0.0);
    }
    times.push_back(time);
  }
  return times;
}

auto ConsecutiveDetectionTimes(int failures,
                               double failing_rate,
                               double rate,
                               int trials,
                               std::uint64_t seed) -> std::vector<double> {
  Random random(seed);
  std::vector<double> times;
  for (int i = 0; i < trials; ++i) {
    int consecutive = 0;
    double time = 0;
    while (consecutive < failures) {
      time -= std::log(1 - random.Unit()) / rate;
      consecutive = random.Unit() < failing_rate ? consecutive + 1 : 0;
    }
    times.push_back(time);
  }
  return times;
}

}  // namespace flamingoyoke
