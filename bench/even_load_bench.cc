#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bench/benches.h"
#include "bench/gateway_simulation.h"
#include "bench/load_policies.h"
#include "core/name_table.h"

namespace flamingoyoke {
namespace {

// Figures are means over several runs; one run of a large fleet has as many
// requests as several of a small one.
struct FleetSize {
  std::size_t gateways;
  std::uint64_t runs;
};
constexpr auto kFleetSizes =
    std::to_array<FleetSize>({{8, 24}, {32, 6}, {128, 2}, {512, 1}});
// Distance between the first seeds of two runs of the benchmark.
constexpr std::uint64_t kSeedStep = 3;
// Targets that differ under a demand that swings between 39% and 91% of what
// they can do.
constexpr double kUtilization = 0.65;
constexpr double kSwing = 0.4;
// The product links an entry to so many others.
constexpr std::size_t kLinkedEntries = 12;

auto RunLoadProfile(const FleetSize& size,
                    LoadPolicy policy,
                    std::uint64_t seed,
                    std::vector<Measurement>& measurements) -> void {
  GatewaySimulationResult mean;
  const auto [gateways, runs] = size;
  const auto part = 1 / static_cast<double>(runs);
  for (std::uint64_t i = 0; i < runs; ++i) {
    const bool is_ideal = policy == LoadPolicy::kOneQueue;
    const auto result =
        RunGatewaySimulation({.gateways = is_ideal ? 1 : gateways,
                              .targets = gateways,
                              .failing_share = 0,
                              .turn = std::chrono::seconds(5),
                              .policy = policy,
                              .unequal_targets = true,
                              .utilization = kUtilization,
                              .swing = kSwing,
                              .peers = kLinkedEntries,
                              .length = std::chrono::seconds(15),
                              .seed = seed * kSeedStep + i});
    mean.waiting_p99_ms += part * result.waiting_p99_ms;
    mean.response_p99_ms += part * result.response_p99_ms;
    mean.waited_beside_idle_share += part * result.waited_beside_idle_share;
    mean.shed_share += part * result.shed_share;
    mean.failed_share += part * result.failed_share;
    mean.weighted_busiest_over_mean += part * result.weighted_busiest_over_mean;
    mean.crossed_share += part * result.crossed_share;
    mean.reports_per_gateway_s += part * result.reports_per_gateway_s;
  }
  const auto profile =
      std::to_string(gateways) + " gateways: " + std::string(ToName(policy));
  const auto add = [&](std::string_view name, std::string_view unit,
                       double value) {
    measurements.push_back({.bench = "even_load",
                            .profile = profile,
                            .name = std::string(name),
                            .unit = std::string(unit),
                            .value = value});
  };
  add("waiting, p99", "ms", mean.waiting_p99_ms);
  add("response, p99", "ms", mean.response_p99_ms);
  add("waited beside an idle slot", "%", 100 * mean.waited_beside_idle_share);
  add("rejected by targets", "%", 100 * mean.shed_share);
  add("failed requests", "%", 100 * mean.failed_share);
  add("busiest target over the mean, by capacity", "",
      mean.weighted_busiest_over_mean);
  add("left the failure domain", "%", 100 * mean.crossed_share);
  add("messages sent by a gateway", "1/s", mean.reports_per_gateway_s);
}

}  // namespace

auto RunEvenLoadBench(std::uint64_t seed) -> std::vector<Measurement> {
  std::vector<Measurement> measurements;
  for (const auto& size : kFleetSizes) {
    for (const auto& [policy, name] : EnumNames<LoadPolicy>::kTable) {
      RunLoadProfile(size, policy, seed, measurements);
    }
  }
  return measurements;
}

}  // namespace flamingoyoke
