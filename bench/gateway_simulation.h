#ifndef FLAMINGOYOKE_BENCH_GATEWAY_SIMULATION_H_
#define FLAMINGOYOKE_BENCH_GATEWAY_SIMULATION_H_

#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Parameters of a run in which the gateways of a fleet share the targets of one
// service, of which some fail by turns.
struct GatewaySimulationOptions {
  std::size_t gateways = 8;
  std::size_t targets = 32;
  // Requests per second and target.
  double load = 1.6;
  // Share of the targets that fail at any time.
  double failing_share = 0.3;
  // Share of the requests that a failing target fails.
  double failure_rate = 0.85;
  // Time after which it is drawn anew whether a target fails.
  Duration turn = std::chrono::seconds(9);
  // Share of the requests that may run more than once.
  double repeatable_share = 0;
  // Share of the targets that the floor does not count, because their links are
  // disturbed. The gateways cannot tell them from the others.
  double disturbed_share = 0;
  // The busiest gateway gets this many times the requests of the idlest.
  double imbalance = 2;
  // Time for a report to be sent, to travel and to be read.
  Duration report_delay = std::chrono::milliseconds(3);
  Duration length = std::chrono::seconds(20);
  std::uint64_t seed = 1;
};

// Figures of a run; the first turn is left out.
struct GatewaySimulationResult {
  std::size_t requests = 0;
  // Share of the requests that got no successful answer.
  double failed_share = 0;
  // Requests of the busiest target over the mean.
  double busiest_over_mean = 0;
  // Mean time from the first failed answer of a failing target until the last
  // attempt before a second without any.
  double avoid_ms = 0;
  // Mean time from the recovery of a target until its next attempt.
  double reuse_ms = 0;
  // Share of the requests that failed at a target of which a failed answer was
  // more than 250 ms old.
  double lost_to_trials_share = 0;
  // Share of the two-second windows in which too few of the sound targets got
  // requests: fewer than the floor share of them, while over a tenth and under
  // half of the requests were not served. A target is sound from two seconds
  // after it stopped failing.
  double missed_floor_share = 0;
  // Share of the windows in which fewer than the floor share of the sound
  // targets got requests, whatever share was served. These miss the floor if
  // enough of their requests are lost later, as in a power failure of all VMs.
  double exposed_floor_share = 0;
  double reports_per_gateway_s = 0;
};

// Runs PoolDispatcher, the code that the gateways use, in virtual time.
auto RunGatewaySimulation(const GatewaySimulationOptions& options)
    -> GatewaySimulationResult;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_GATEWAY_SIMULATION_H_
