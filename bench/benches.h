#ifndef FLAMINGOYOKE_BENCH_BENCHES_H_
#define FLAMINGOYOKE_BENCH_BENCHES_H_

#include <cstdint>
#include <vector>

#include "bench/measurement.h"

namespace flamingoyoke {

// Each benchmark is declared here, defined in `<name>_bench.cc`, and listed in
// the table of bench_main.cc.

// Share of the capacity that is answered in time at twice the capacity.
auto RunCrestBench(std::uint64_t seed) -> std::vector<Measurement>;
// Response times and shed requests by dispatch strategy and load.
auto RunDispatchBench(std::uint64_t seed) -> std::vector<Measurement>;
// Response times of short and long requests that share targets.
auto RunShortLongBench(std::uint64_t seed) -> std::vector<Measurement>;
// Time to detect a failing target.
auto RunDetectionBench(std::uint64_t seed) -> std::vector<Measurement>;

// Ejections of healthy targets, flapping targets, drain, and probe rates.
auto RunEjectionBench(std::uint64_t seed) -> std::vector<Measurement>;
// Choice of targets against the number of gateways that share them.
auto RunGatewayBench(std::uint64_t seed) -> std::vector<Measurement>;
// Waiting and rejected requests by the way in which many gateways choose.
auto RunEvenLoadBench(std::uint64_t seed) -> std::vector<Measurement>;
// Table propagation, membership and their cost by fleet size.
auto RunFleetBench(std::uint64_t seed) -> std::vector<Measurement>;
// Ways to divide the quota of a team among gateways.
auto RunQuotaBench(std::uint64_t seed) -> std::vector<Measurement>;
// Age of the configuration after the loss of its readers, by fleet size.
auto RunViewAgeBench(std::uint64_t seed) -> std::vector<Measurement>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_BENCHES_H_
