#ifndef FLAMINGOYOKE_BENCH_IDEAL_CUSUM_H_
#define FLAMINGOYOKE_BENCH_IDEAL_CUSUM_H_

#include <cstdint>
#include <vector>

namespace flamingoyoke {

// Textbook CUSUM test with known failure rates before and after the change.
// Serves as a baseline for the detector.
struct IdealCusum {
  double healthy_rate = 0.005;
  double failing_rate = 0.3;
  double threshold = 0;
};

// Returns the mean number of outcomes of a healthy target between two false
// alarms, estimated by importance sampling over `excursions` excursions of the
// statistic from zero.
auto OutcomesPerFalseAlarm(const IdealCusum& cusum,
                           int excursions,
                           std::uint64_t seed) -> double;

// Returns the lowest threshold, in steps of 0.1, with at least `outcomes`
// outcomes per false alarm.
auto FindThreshold(IdealCusum cusum,
                   double outcomes,
                   int excursions,
                   std::uint64_t seed) -> double;

// Returns the detection times in seconds of a target that starts to fail, with
// Poisson arrivals of `rate` requests per second.
auto IdealDetectionTimes(const IdealCusum& cusum,
                         double rate,
                         int trials,
                         std::uint64_t seed) -> std::vector<double>;

// Returns the same for a rule that ejects after `failures` consecutive
// failures.
auto ConsecutiveDetectionTimes(int failures,
                               double failing_rate,
                               double rate,
                               int trials,
                               std::uint64_t seed) -> std::vector<double>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_IDEAL_CUSUM_H_
