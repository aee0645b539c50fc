// Tests how soon a fleet accepts callers after all its VMs were killed at once.
#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>

#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TestSuite(fleet_start, .timeout = 300);

// The goal; the users' bound is 15 s.
constexpr Duration kServingLimit = seconds(5);
constexpr std::size_t kPageTargets = 50;
constexpr std::size_t kTargetsPerVm = 10;

auto MakeOptions(std::size_t nodes, std::uint64_t seed) -> FakeFleetOptions {
  FakeFleetOptions options;
  options.nodes = nodes;
  options.seed = seed;
  options.services = 0;
  options.is_published = true;
  options.max_view_age = seconds(1);
  options.seeds = 3;
  options.store_pages = nodes * kTargetsPerVm / kPageTargets;
  options.store_calls_per_second = 620;
  return options;
}

// Kills all VMs and starts them again; returns the time until all accept
// callers.
auto RestartAll(FakeFleet& fleet) -> std::optional<Duration> {
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    fleet.Stop(i);
  }
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    fleet.Start(i);
  }
  return fleet.RunUntil([&] { return fleet.AllReady(); }, seconds(40));
}

}  // namespace

// Guards against VMs that all read the store at once, which refuses most of
// their calls: 300 VMs that need 60 calls each waited 30 s.
Test(fleet_start, all_accept_callers_soon_after_all_were_killed) {
  for (const std::size_t nodes : {32, 300}) {
    FakeFleet fleet(MakeOptions(nodes, 3));
    fleet.Publish(1);
    fleet.StartAll();
    fleet.RunFor(seconds(20));
    cr_assert(fleet.AllReady(), "%zu VMs", nodes);
    const auto time = RestartAll(fleet);
    cr_assert(time && *time <= kServingLimit, "%zu VMs: %f s", nodes,
              ToSeconds(time.value_or(seconds(40))));
  }
}

// Guards against a VM that accepts callers with the table that a peer had
// before the store changed.
Test(fleet_start, restarted_vms_have_what_was_published_before_their_start) {
  FakeFleet fleet(MakeOptions(64, 5));
  fleet.Publish(1);
  fleet.StartAll();
  fleet.RunFor(seconds(20));
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    fleet.Stop(i);
  }
  fleet.Publish(2);
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    fleet.Start(i);
  }
  for (int step = 0; step < 500; ++step) {
    fleet.RunFor(milliseconds(10));
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
      cr_assert(!fleet.nodes()[i].is_ready ||
                fleet.RevisionOf(i) == Revision(2));
    }
  }
  cr_assert(fleet.AllReady());
}

}  // namespace flamingoyoke
