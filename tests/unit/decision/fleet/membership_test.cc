#include "decision/fleet/membership.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "decision/fleet/membership_timing.h"
#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto MakeFleet(std::size_t nodes = 16, std::uint64_t seed = 1) -> FakeFleet {
  return MakeRunningFleet({.nodes = nodes, .seed = seed});
}

// Guards against VMs that start simultaneously and never discover each other.
Test(membership, all_vms_discover_each_other) {
  auto fleet = MakeFleet();
  cr_assert(fleet.HasConverged());
  cr_assert(fleet.AllReady());
}

// Guards against duties, such as reading the source, that stay orphaned until
// their holders are declared dead. A change must be in force everywhere within
// two seconds, and reading it takes part of that time.
Test(membership, silent_home_peers_are_reported_before_they_are_declared_dead) {
  auto fleet = MakeFleet();
  const auto lost = fleet.nodes()[0].home_peers;
  cr_assert_geq(lost.size(), 3U);
  for (std::size_t i = 1; i < fleet.nodes().size(); ++i) {
    if (lost.contains(fleet.nodes()[i].self.id)) {
      fleet.Stop(i);
    }
  }
  fleet.RunFor(milliseconds(700));
  const auto& survivor = *fleet.nodes()[0].membership;
  cr_assert(survivor.SilentHomePeers(fleet.now()).empty());
  fleet.RunFor(milliseconds(400));
  cr_assert(survivor.SilentHomePeers(fleet.now()) == lost);
}

// Guards against VMs that stay in use after their death, and against others
// that are declared dead with them.
Test(membership, dead_vm_is_detected_by_all) {
  auto fleet = MakeFleet();
  fleet.Stop(3);
  // Five seconds until it is declared dead, plus dissemination.
  cr_assert(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(7)));
  fleet.RunFor(seconds(30));
  cr_assert(fleet.HasConverged());
}

// Guards against connections that stay silent for good after something between
// two VMs has dropped their state, in one direction and in both.
Test(membership, silent_connections_are_reopened) {
  for (const bool both : {false, true}) {
    auto fleet = MakeFleet();
    const auto peer =
        std::stoul(fleet.nodes()[0].endpoints.begin()->first.value().substr(3));
    const auto is_linked = [&](std::size_t from, std::size_t to) {
      const auto linked =
          fleet.nodes()[from].membership->TwoWayPeers(fleet.now());
      return std::count(linked.begin(), linked.end(),
                        fleet.nodes()[to].self.id) > 0;
    };
    fleet.SilenceConnection(0, peer);
    if (both) {
      fleet.SilenceConnection(peer, 0);
    }
    cr_assert(fleet.RunUntil([&] { return !is_linked(0, peer); }, seconds(5)));
    cr_assert(fleet.RunUntil(
        [&] { return is_linked(0, peer) && is_linked(peer, 0); }, seconds(5)));
    cr_assert(fleet.HasConverged());
  }
}

// Guards against reopening links that work, which loses queued messages, also
// while some messages are lost.
Test(membership, working_links_are_not_reopened) {
  auto fleet = MakeFleet();
  const auto count = [&] {
    std::uint64_t sum = 0;
    for (const auto& node : fleet.nodes()) {
      sum += node.counters.reopened_links;
    }
    return sum;
  };
  const auto before = count();
  fleet.SetLoss(0.02);
  fleet.RunFor(seconds(60));
  cr_assert_eq(count(), before);
}

// Guards against declaring a VM dead because one link to it is cut in one
// direction: other peers acknowledge it, and both ends detect the cut.
Test(membership, one_way_cut_is_detected_by_both_ends_without_false_death) {
  auto fleet = MakeFleet();
  const auto peer =
      std::stoul(fleet.nodes()[0].endpoints.begin()->first.value().substr(3));
  fleet.SetLinks([peer](std::size_t from, std::size_t to) {
    return !(from == 0 && to == peer);
  });
  for (int step = 0; step < 300; ++step) {
    fleet.RunFor(milliseconds(100));
    cr_assert(fleet.LivenessSeenBy(peer, 0) == Liveness::kAlive, "step %d",
              step);
    cr_assert(fleet.HasConverged());
  }
  const auto has = [&](std::size_t node, std::size_t other) {
    const auto cut = fleet.nodes()[node].membership->CutOff(fleet.now());
    return std::count(cut.begin(), cut.end(), fleet.nodes()[other].self.id) > 0;
  };
  cr_assert(has(0, peer));
  cr_assert(has(peer, 0));
}

// Guards against a VM that receives no messages, considers all others dead, and
// spreads this through the fleet.
Test(membership, vm_without_incoming_messages_causes_no_false_deaths) {
  auto fleet = MakeFleet();
  fleet.SetLinks([](std::size_t /*from*/, std::size_t to) { return to != 0; });
  for (int step = 0; step < 200; ++step) {
    fleet.RunFor(milliseconds(100));
    for (std::size_t i = 1; i < 16; ++i) {
      for (std::size_t j = 1; j < 16; ++j) {
        cr_assert(i == j || fleet.LivenessSeenBy(i, j) == Liveness::kAlive,
                  "step %d: %zu of %zu", step, i, j);
      }
    }
  }
  fleet.SetLinks(nullptr);
  cr_assert(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(20)));
}

// Guards against partitions that do not merge, and against empty home sets
// while they do: no VM may be declared dead on its own side because of a report
// from the other side.
Test(membership, a_partition_heals_without_false_deaths) {
  auto fleet = MakeFleet();
  fleet.SetLinks(
      [](std::size_t a, std::size_t b) { return (a < 8) == (b < 8); });
  fleet.RunFor(seconds(60));
  cr_assert(fleet.LivenessSeenBy(0, 15) == Liveness::kDead);
  cr_assert(fleet.LivenessSeenBy(0, 7) == Liveness::kAlive);
  fleet.SetLinks(nullptr);
  bool has_converged = false;
  for (int step = 0; step < 1500 && !has_converged; ++step) {
    fleet.RunFor(milliseconds(10));
    has_converged = fleet.HasConverged();
    for (std::size_t i = 0; i < 16; ++i) {
      for (std::size_t j = 0; j < 16; ++j) {
        cr_assert(i == j || (i < 8) != (j < 8) ||
                      fleet.LivenessSeenBy(i, j) == Liveness::kAlive,
                  "step %d: %zu of %zu", step, i, j);
      }
    }
  }
  cr_assert(has_converged);
}

// Guards against a process that acts on its state from before a pause.
Test(membership, resumed_vm_reconfirms_all_members) {
  auto fleet = MakeFleet();
  fleet.Pause(2);
  fleet.RunFor(seconds(30));
  cr_assert(fleet.LivenessSeenBy(0, 2) == Liveness::kDead);
  fleet.Stop(5);
  fleet.Resume(2);
  cr_assert(fleet.LivenessSeenBy(2, 0) == Liveness::kUnproven);
  cr_assert(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(10)));
}

// Guards against a successor with the same id or address that stays unknown or
// is listed beside the VM it replaced.
Test(membership, successor_replaces_vm_with_same_id_or_address) {
  auto fleet = MakeFleet();
  fleet.Stop(4);
  fleet.Start(4);
  fleet.RunFor(seconds(2));
  cr_assert(fleet.HasConverged());
  cr_assert(fleet.nodes()[0]
                .membership->list()
                .Find(fleet.nodes()[4].self.id)
                ->member.incarnation == fleet.nodes()[4].self.incarnation);

  const auto successor = fleet.AddVm();
  fleet.nodes()[successor].self.mesh_address =
      fleet.nodes()[4].self.mesh_address;
  fleet.Stop(4);
  fleet.Start(successor);
  fleet.RunFor(seconds(2));
  cr_assert(fleet.LivenessSeenBy(0, successor) == Liveness::kAlive);
  cr_assert(fleet.LivenessSeenBy(0, 4) == Liveness::kDead);
}

// Guards against new work for a VM that is leaving.
Test(membership, leaving_is_disseminated_at_once) {
  auto fleet = MakeFleet();
  fleet.Leave(6);
  fleet.RunFor(milliseconds(500));
  for (std::size_t i = 0; i < 16; ++i) {
    const auto* record =
        fleet.nodes()[i].membership->list().Find(fleet.nodes()[6].self.id);
    cr_assert(i == 6 || record->member.leaving);
  }
}

// Guards against keeping the records of dead VMs forever.
Test(membership, tombstones_expire) {
  auto fleet = MakeFleet(8);
  fleet.Stop(3);
  fleet.RunFor(kTombstoneLifetime + seconds(30));
  cr_assert(fleet.nodes()[0].membership->list().Find(
                fleet.nodes()[3].self.id) == nullptr);
  cr_assert(fleet.HasConverged());
}

// Guards against heartbeats that grow with the fleet.
Test(membership, peers_and_bytes_are_bounded) {
  auto fleet = MakeFleet(40);
  std::uint64_t before = 0;
  for (const auto& node : fleet.nodes()) {
    before += node.counters.sent_bytes + node.counters.received_bytes;
    cr_assert_leq(node.max_peers, kMaxPeers);
  }
  fleet.RunFor(seconds(20));
  std::uint64_t after = 0;
  for (const auto& node : fleet.nodes()) {
    after += node.counters.sent_bytes + node.counters.received_bytes;
  }
  // 2 KB/s per node, for 40 nodes over 20 seconds.
  cr_assert_leq(after - before, 2000UL * 40 * 20);
}

// Returns the smallest number of links that a VM of the home set has to others
// of it.
auto FewestHomeLinks(const FakeFleet& fleet) -> std::size_t {
  auto fewest = fleet.nodes().size();
  for (const auto& node : fleet.nodes()) {
    if (!node.is_running || node.home_peers.empty()) {
      continue;
    }
    const auto linked = node.membership->TwoWayPeers(fleet.now());
    fewest = std::min(fewest,
                      static_cast<std::size_t>(std::count_if(
                          linked.begin(), linked.end(), [&](const VmId& peer) {
                            return node.home_peers.contains(peer);
                          })));
  }
  return fewest;
}

// Guards against entry VMs that lose their links to each other while a large
// fleet starts, and then choose targets without the outcomes of the others.
Test(membership, home_peers_stay_linked_in_a_large_fleet) {
  auto fleet = MakeRunningFleet(
      {.nodes = 120, .domains = 6, .services = 1, .home = 13}, seconds(5));
  cr_assert_eq(FewestHomeLinks(fleet), 12U);
  // One is lost and another takes its place.
  for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
    if (!fleet.nodes()[i].home_peers.empty()) {
      fleet.Stop(i);
      break;
    }
  }
  fleet.RunFor(seconds(6));
  cr_assert_eq(FewestHomeLinks(fleet), 12U);
}

// Guards against a set of entry VMs that outgrows the peers which a VM may have
// and then has no links at all: each keeps kMaxHomePeers.
Test(membership, a_large_home_set_keeps_links_up_to_the_limit) {
  auto fleet = MakeRunningFleet(
      {.nodes = 60, .domains = 6, .services = 1, .home = 40}, seconds(5));
  cr_assert_geq(FewestHomeLinks(fleet), kMaxHomePeers);
}

}  // namespace
}  // namespace flamingoyoke
