#include "bench/measurement_list.h"

namespace flamingoyoke {

auto MeasurementList::Add(std::string name, std::string unit, double value)
    -> void {
  Measurement measurement;
  measurement.bench = bench_;
  measurement.profile = profile_;
  measurement.name = std::move(name);
  measurement.unit = std::move(unit);
  measurement.value = value;
  measurements_.push_back(std::move(measurement));
}

auto MeasurementList::AddBounded(std::string name,
                                 std::string unit,
                                 double value,
                                 double bound) -> void {
  Add(std::move(name), std::move(unit), value);
  measurements_.back().bound_kind = BoundKind::kAtMost;
  measurements_.back().bound = bound;
}

auto MeasurementList::Take() -> std::vector<Measurement> {
  return std::exchange(measurements_, {});
}

}  // namespace flamingoyoke
