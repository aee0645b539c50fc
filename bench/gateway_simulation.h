#ifndef FLAMINGOYOKE_BENCH_GATEWAY_SIMULATION_H_
#define FLAMINGOYOKE_BENCH_GATEWAY_SIMULATION_H_

#include <cstddef>
#include <cstdint>

#include "bench/load_policies.h"
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
  LoadPolicy policy = LoadPolicy::kProduct;
  // Whether the targets differ: their mean run times by a factor of four, their
  // slots from 2 to 6, and a third of them run half as fast again when full.
  // They then state their load in each answer.
  bool unequal_targets = false;
  // Demand as a share of what all targets can do, instead of `load`; 0 to use
  // `load`.
  double utilization = 0;
  // The demand rises and falls by this share of its mean every five seconds.
  double swing = 0;
  // Number of other gateways that each one reports to; 0 for all.
  std::size_t peers = 0;
  // Whether targets that differ state their load.
  bool states_load = true;
  // Time for a report to be sent, to travel and to be read.
  Duration report_delay = std::chrono::milliseconds(3);
  // How long events wait in the loops of the gateways, as they know it. The
  // simulation itself is not late.
  Duration loop_delay = Duration::zero();
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
  // The busiest target over the mean, of requests by what each target can do in
  // the time.
  double weighted_busiest_over_mean = 0;
  // Time that served requests waited at the gateway and at targets, and until
  // their answer.
  double waiting_p99_ms = 0;
  double response_p99_ms = 0;
  // Share of the requests that waited at a gateway or target, or were shed,
  // while another target had a free slot.
  double waited_beside_idle_share = 0;
  // The parts of that share: requests that were held at a gateway, that were
  // queued at a target, and that a target shed. One request may be in several.
  double held_beside_idle_share = 0;
  double queued_beside_idle_share = 0;
  double shed_beside_idle_share = 0;
  // Mean waiting of the 2% of the served requests that waited longest: at the
  // gateway, retries included, and at the target that answered.
  double longest_held_ms = 0;
  double longest_queued_ms = 0;
  // Attempts that targets shed, and attempts that left the failure domain, for
  // each request.
  double shed_share = 0;
  double crossed_share = 0;
};

// Runs PoolDispatcher, the code that the gateways use, in virtual time.
auto RunGatewaySimulation(const GatewaySimulationOptions& options)
    -> GatewaySimulationResult;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_BENCH_GATEWAY_SIMULATION_H_
