#ifndef FLAMINGOYOKE_BENCH_DETECTION_PROFILES_H_
#define FLAMINGOYOKE_BENCH_DETECTION_PROFILES_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bench/detection_world.h"
#include "bench/measure.h"
#include "core/time.h"

namespace flamingoyoke {

struct DetectionService {
  std::string_view name;
  std::size_t targets;
};

// Services of one of the users; docs/design.md, section 1.3.
struct DetectionProfile {
  std::string_view name;
  std::array<DetectionService, 3> services;
  std::uint32_t slots;
  Duration one_way;
};

inline constexpr std::array<DetectionProfile, 2> kDetectionProfiles = {
    DetectionProfile{"association",
                     {{{"stock", 8}, {"booking", 14}, {"manifest", 8}}},
                     2,
                     std::chrono::microseconds(500)},
    DetectionProfile{"builder",
                     {{{"catalogue", 9}, {"ledger", 16}, {"design", 8}}},
                     4,
                     std::chrono::microseconds(1000)}};

// Returns the setting of one service with 20 requests/s on each target.
auto SettingOf(const DetectionProfile& profile, const DetectionService& service)
    -> DetectionSetting;

// Returns the value that `quantile` (0 to 1) of `values` do not exceed.
// `values` must not be empty.
auto Quantile(std::vector<double> values, double quantile) -> double;

auto MeasureOf(std::string bench,
               const DetectionProfile& profile,
               std::string name,
               std::string unit,
               double value) -> Measure;

// Returns `measure` with an upper bound.
auto AtMost(Measure measure, double bound) -> Measure;

// Returns `measure` with a baseline.
auto Against(Measure measure, std::string name, double value) -> Measure;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_DETECTION_PROFILES_H_
