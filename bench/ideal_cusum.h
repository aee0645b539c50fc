#ifndef FLAMINGOYOKE_BENCH_IDEAL_CUSUM_H_
#define FLAMINGOYOKE_BENCH_IDEAL_CUSUM_H_

#include <cstdint>
#include <vector>

namespace flamingoyoke {

// The textbook CUSUM that knows both failure rates exactly, as a baseline.
struct IdealCusum {
  double healthy_rate = 0.005;
  double ill_rate = 0.3;
  double threshold = 0;
};

// Returns the mean number of outcomes of a healthy target between two false
// alarms, estimated by importance sampling over `excursions` runs.
auto OutcomesPerFalseAlarm(const IdealCusum& cusum,
                           int excursions,
                           std::uint64_t seed) -> double;

// Returns the least threshold, in steps of 0.1, with at least `outcomes`
// outcomes per false alarm.
auto ThresholdFor(IdealCusum cusum,
                  double outcomes,
                  int excursions,
                  std::uint64_t seed) -> double;

// Returns detection times in seconds of a target that becomes ill and gets
// `rate` requests per second at random times.
auto IdealDetectionTimes(const IdealCusum& cusum,
                         double rate,
                         int trials,
                         std::uint64_t seed) -> std::vector<double>;

// The same for a rule that counts failures in a row.
auto ConsecutiveDetectionTimes(int failures,
                               double ill_rate,
                               double rate,
                               int trials,
                               std::uint64_t seed) -> std::vector<double>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_IDEAL_CUSUM_H_
