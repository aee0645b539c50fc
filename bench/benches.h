#ifndef FLAMINGOYOKE_BENCH_BENCHES_H_
#define FLAMINGOYOKE_BENCH_BENCHES_H_

#include <cstdint>
#include <vector>

#include "bench/measure.h"

namespace flamingoyoke {

// Each bench is declared here, defined in `<name>_bench.cc`, and listed in the
// table of bench_main.cc.

auto RunCrestBench(std::uint64_t seed) -> std::vector<Measure>;
auto RunDispatchBench(std::uint64_t seed) -> std::vector<Measure>;
auto RunShortLongBench(std::uint64_t seed) -> std::vector<Measure>;
// Time to detect failing targets.
auto RunDetectionBench(std::uint64_t seed) -> std::vector<Measure>;

// Healthy targets ejected by mistake, flapping, drain, probes.
auto RunEjectionBench(std::uint64_t seed) -> std::vector<Measure>;
// Spread of the table, membership and their cost against the fleet size.
auto RunFleetBench(std::uint64_t seed) -> std::vector<Measure>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_BENCHES_H_
