#ifndef FLAMINGOYOKE_BENCH_MEASUREMENT_LIST_H_
#define FLAMINGOYOKE_BENCH_MEASUREMENT_LIST_H_

#include <string>
#include <utility>
#include <vector>

#include "bench/measurement.h"

namespace flamingoyoke {

// Collects the figures of one benchmark, in order. Not thread-safe.
class MeasurementList {
 public:
  explicit MeasurementList(std::string bench) : bench_(std::move(bench)) {}

  // Sets the profile of the figures that follow.
  auto set_profile(std::string profile) -> void {
    profile_ = std::move(profile);
  }

  // Adds a figure without a bound.
  auto Add(std::string name, std::string unit, double value) -> void;
  // Adds a figure that must not exceed `bound`.
  auto AddBounded(std::string name,
                  std::string unit,
                  double value,
                  double bound) -> void;

  // Removes and returns the figures.
  auto Take() -> std::vector<Measurement>;

 private:
  std::string bench_;
  std::string profile_;
  std::vector<Measurement> measurements_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_MEASUREMENT_LIST_H_
