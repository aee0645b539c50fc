#include "decision/fleet/membership.h"

#include <criterion/criterion.h>

#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto MakeFleet(std::size_t nodes = 16, std::uint64_t seed = 1) -> FakeFleet {
  FakeFleetOptions options;
  options.nodes = nodes;
  options.seed = seed;
  FakeFleet fleet(options);
  fleet.Publish(1);
  fleet.StartAll();
  fleet.RunFor(seconds(10));
  return fleet;
}

// Guards against vms that start together and never find each other.
Test(membership, all_vms_find_each_other_at_a_start) {
  auto fleet = MakeFleet();
  cr_assert(fleet.HasConverged());
  cr_assert(fleet.AllReady());
}

// Guards against a duty that nobody takes over for as long as its holders are
// not held for dead: a change has to be in force everywhere within two seconds,
// and reading it takes a part of them.
Test(membership, lost_home_peers_show_well_before_they_are_held_for_dead) {
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

// Guards against vms that stay in use after their death, and against others
// that are taken for dead with it.
Test(membership, a_dead_vm_is_dead_everywhere) {
  auto fleet = MakeFleet();
  fleet.Stop(3);
  // Five seconds of silence, and the spread.
  cr_assert(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(7)));
  fleet.RunFor(seconds(30));
  cr_assert(fleet.HasConverged());
}

// Guards against ejecting a vm because one link to it is cut in one
// direction: others vouch for it, and both ends know that the link is bad.
Test(membership, a_one_way_cut_shows_on_both_sides_and_kills_nobody) {
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

// Guards against a vm that hears nobody, holds all others for dead, and
// convinces the fleet of it.
Test(membership, a_vm_that_hears_nobody_does_not_kill_the_others) {
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

// Guards against sides of a partition that never find each other again, and
// against home sets that empty while the sides merge: nobody who is alive on
// the own side may be taken for dead on the word of the other side.
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

// Guards against a process that goes on with what it knew before a pause.
Test(membership, a_paused_vm_doubts_all_until_it_hears_of_them) {
  auto fleet = MakeFleet();
  fleet.Pause(2);
  fleet.RunFor(seconds(30));
  cr_assert(fleet.LivenessSeenBy(0, 2) == Liveness::kDead);
  fleet.Stop(5);
  fleet.Resume(2);
  cr_assert(fleet.LivenessSeenBy(2, 0) == Liveness::kUnproven);
  cr_assert(fleet.RunUntil([&] { return fleet.HasConverged(); }, seconds(10)));
}

// Guards against a vm whose successor with the same id or address stays
// unknown or beside it in the list.
Test(membership, a_replaced_vm_gives_way_to_its_successor) {
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

// Guards against new work for a vm that leaves.
Test(membership, leaving_spreads_at_once) {
  auto fleet = MakeFleet();
  fleet.Leave(6);
  fleet.RunFor(milliseconds(500));
  for (std::size_t i = 0; i < 16; ++i) {
    const auto* record =
        fleet.nodes()[i].membership->list().Find(fleet.nodes()[6].self.id);
    cr_assert(i == 6 || record->member.leaving);
  }
}

// Guards against records of dead vms that are kept for ever.
Test(membership, tombstones_end) {
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
  // 2 KB/s for each of 40 nodes, over 20 seconds.
  cr_assert_leq(after - before, 2000UL * 40 * 20);
}

}  // namespace
}  // namespace flamingoyoke
