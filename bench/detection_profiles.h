#ifndef FLAMINGOYOKE_BENCH_DETECTION_PROFILES_H_
#define FLAMINGOYOKE_BENCH_DETECTION_PROFILES_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bench/detection_simulation.h"
#include "bench/measurement.h"
#include "core/time.h"

namespace flamingoyoke {

struct DetectionService {
  std::string_view name;
  std::size_t targets;
};

// Services of a user profile of docs/design.md, section 1.3.
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

// Returns simulation options for one service, with 20 requests/s on each
// target.
auto MakeSimulationOptions(const DetectionProfile& profile,
                           const DetectionService& service)
    -> DetectionSimulationOptions;

// Returns the `quantile` (0 to 1) of `values`, which must not be empty.
auto Quantile(std::vector<double> values, double quantile) -> double;

auto MakeMeasurement(std::string bench,
                     const DetectionProfile& profile,
                     std::string name,
                     std::string unit,
                     double value) -> Measurement;

// Returns `measurement` with an upper bound.
auto WithUpperBound(Measurement measurement, double bound) -> Measurement;

// Returns `measurement` with a baseline.
auto WithBaseline(Measurement measurement, std::string name, double value)
    -> Measurement;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_DETECTION_PROFILES_H_
