#include "bench/detection_profiles.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingoyoke {
namespace {

constexpr double kRate = 20;

}  // namespace

auto SettingOf(const DetectionProfile& profile, const DetectionService& service)
    -> DetectionSetting {
  DetectionSetting setting;
  setting.targets = service.targets;
  setting.slots = profile.slots;
  setting.one_way = profile.one_way;
  setting.rate = kRate;
  return setting;
}

auto Quantile(std::vector<double> values, double quantile) -> double {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::ceil(quantile * last))];
}

auto MeasureOf(std::string bench,
               const DetectionProfile& profile,
               std::string name,
               std::string unit,
               double value) -> Measure {
  Measure measure;
  measure.bench = std::move(bench);
  measure.profile = profile.name;
  measure.name = std::move(name);
  measure.unit = std::move(unit);
  measure.value = value;
  return measure;
}

auto AtMost(Measure measure, double bound) -> Measure {
  measure.bound_kind = BoundKind::kAtMost;
  measure.bound = bound;
  return measure;
}

auto Against(Measure measure, std::string name, double value) -> Measure {
  measure.baseline_name = std::move(name);
  measure.baseline = value;
  return measure;
}

}  // namespace flamingoyoke
