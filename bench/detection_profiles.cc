#include "bench/detection_profiles.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr double kRate = 20;

}  // namespace

auto MakeSimulationOptions(const DetectionProfile& profile,
                           const DetectionService& service)
    -> DetectionSimulationOptions {
  DetectionSimulationOptions options;
  options.targets = service.targets;
  options.slots = profile.slots;
  options.one_way = profile.one_way;
  options.rate = kRate;
  return options;
}

auto Quantile(std::vector<double> values, double quantile) -> double {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(quantile * last))];
}

auto MakeMeasurement(std::string bench,
                     const DetectionProfile& profile,
                     std::string name,
                     std::string unit,
                     double value) -> Measurement {
  Measurement measurement;
  measurement.bench = std::move(bench);
  measurement.profile = profile.name;
  measurement.name = std::move(name);
  measurement.unit = std::move(unit);
  measurement.value = value;
  return measurement;
}

auto WithUpperBound(Measurement measurement, double bound) -> Measurement {
  measurement.bound_kind = BoundKind::kAtMost;
  measurement.bound = bound;
  return measurement;
}

auto WithBaseline(Measurement measurement, std::string name, double value)
    -> Measurement {
  measurement.baseline_name = std::move(name);
  measurement.baseline = value;
  return measurement;
}

}  // namespace flamingoyoke
