// Tests which table VMs accept callers with when many start anew at once.
#include <criterion/criterion.h>

#include <algorithm>
#include <cstdint>
#include <string>

#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 24;
// The only VM that missed the newest table.
constexpr std::size_t kOutdated = 0;
// VMs from this one on start anew.
constexpr std::size_t kFirstRestarted = kNodes / 2;
// That of MakeRunningFleet.
constexpr std::uint64_t kOldRevision = 1;
constexpr std::uint64_t kNewRevision = 2;

auto IsRestarted(std::size_t index) -> bool {
  return index >= kFirstRestarted;
}

// A fleet that reads a published store, with one outdated VM. Half of it starts
// anew and hears that VM and itself only.
auto MakeFleetWithOutdatedVm(std::uint64_t seed) -> FakeFleet {
  auto fleet =
      MakeRunningFleet({.nodes = kNodes, .seed = seed, .is_published = true});
  cr_assert(fleet.AllReady());
  fleet.SetLinks([](std::size_t, std::size_t to) { return to != kOutdated; });
  fleet.SetService([](std::size_t node) { return node != kOutdated; });
  fleet.Publish(kNewRevision);
  fleet.RunFor(seconds(3));
  cr_assert_eq(fleet.RevisionOf(kOutdated), Revision(kOldRevision));
  cr_assert_eq(fleet.RevisionOf(1), Revision(kNewRevision));
  for (std::size_t i = kFirstRestarted; i < kNodes; ++i) {
    fleet.Stop(i);
  }
  fleet.SetLinks([](std::size_t from, std::size_t to) {
    const bool is_side = IsRestarted(from) || from == kOutdated;
    return is_side == (IsRestarted(to) || to == kOutdated);
  });
  for (std::size_t i = kFirstRestarted; i < kNodes; ++i) {
    fleet.Start(i);
  }
  return fleet;
}

// Returns the number of restarted VMs that accept callers.
auto CountReady(const FakeFleet& fleet) -> std::size_t {
  std::size_t ready = 0;
  for (std::size_t i = kFirstRestarted; i < kNodes; ++i) {
    ready += fleet.nodes()[i].is_ready ? 1 : 0;
  }
  return ready;
}

auto CheckReadyOnesAreCurrent(const FakeFleet& fleet) -> void {
  for (std::size_t i = kFirstRestarted; i < kNodes; ++i) {
    cr_assert(!fleet.nodes()[i].is_ready ||
                  fleet.RevisionOf(i) == Revision(kNewRevision),
              "vm %zu accepts callers with an outdated table", i);
  }
}

}  // namespace

// Guards against refusing or misrouting callers by the outdated table that a
// restarted VM got from the first peer it heard.
Test(fleet_restart, restarted_vms_accept_callers_with_the_newest_table_only) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet = MakeFleetWithOutdatedVm(seed);
    for (int step = 0; step < 200; ++step) {
      fleet.RunFor(milliseconds(10));
      CheckReadyOnesAreCurrent(fleet);
    }
    cr_assert_eq(CountReady(fleet), kNodes - kFirstRestarted);
  }
}

// Guards against restarted VMs that trust each other while they cannot read the
// store, and against VMs that stay out of use although ready peers are there.
Test(fleet_restart, without_the_store_ready_peers_decide) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet = MakeFleetWithOutdatedVm(seed);
    fleet.SetService([](std::size_t node) {
      return node != kOutdated && !IsRestarted(node);
    });
    for (int step = 0; step < 200; ++step) {
      fleet.RunFor(milliseconds(10));
      cr_assert_eq(CountReady(fleet), 0U);
    }
    fleet.SetLinks([](std::size_t, std::size_t) { return true; });
    cr_assert(fleet.RunUntil(
        [&] {
          CheckReadyOnesAreCurrent(fleet);
          return CountReady(fleet) == kNodes - kFirstRestarted;
        },
        kStartupPeerWait));
  }
}

// Guards against a VM that hears of no change until it has declared all its
// peers dead, because they were lost together.
Test(fleet_restart, a_vm_that_lost_all_its_peers_hears_of_the_next_change) {
  // A change must be in force everywhere two seconds after it was accepted.
  constexpr auto kApplyLimit = seconds(2);
  constexpr auto kChangeDelay = milliseconds(900);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet =
        MakeRunningFleet({.nodes = 40, .seed = seed, .is_published = true});
    const auto lonely = fleet.nodes().size() - 1;
    for (const auto& [vm, address] : fleet.nodes()[lonely].endpoints) {
      fleet.Stop(std::stoul(vm.value().substr(3)));
    }
    fleet.RunFor(kChangeDelay);
    fleet.Publish(kNewRevision);
    cr_assert(
        fleet.RunUntil(
            [&] { return fleet.RevisionOf(lonely) == Revision(kNewRevision); },
            kApplyLimit),
        "seed %d", static_cast<int>(seed));
  }
}

// Guards against a fleet that acts on an old configuration for 4 s after all
// VMs that read the store, or stand by to read it, lost power together.
Test(fleet_restart, a_fleet_that_lost_all_readers_hears_of_the_next_change) {
  constexpr auto kApplyLimit = seconds(2);
  constexpr std::size_t kLost = 8;
  for (const std::size_t nodes : {9, 15, 32}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      auto fleet = MakeRunningFleet({.nodes = nodes,
                                     .seed = seed,
                                     .is_published = true,
                                     .max_view_age = seconds(1)});
      const auto members = fleet.nodes().front().membership->Members();
      for (const auto& vm : ReaderVms(members, kLost)) {
        fleet.Stop(std::stoul(vm.value().substr(3)));
      }
      fleet.RunFor(milliseconds(50));
      fleet.Publish(kNewRevision);
      cr_assert(fleet.RunUntil([&] { return fleet.AllHave(kNewRevision); },
                               kApplyLimit),
                "%d VMs, seed %d", static_cast<int>(nodes),
                static_cast<int>(seed));
    }
  }
}

// Guards against VMs that act on an old configuration for as long as they hear
// that a reader follows the store, while its tables don't reach them.
Test(fleet_restart, vms_that_get_no_tables_of_peers_hear_of_the_next_change) {
  constexpr auto kApplyLimit = seconds(2);
  constexpr std::size_t kFleetSize = 32;
  for (const std::size_t cut_off : {std::size_t{1}, kFleetSize}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      auto fleet = MakeRunningFleet({.nodes = kFleetSize,
                                     .seed = seed,
                                     .is_published = true,
                                     .max_view_age = seconds(1)});
      fleet.SetMessages([&](std::size_t to, const PeerMessage& message) {
        return to >= cut_off || !std::holds_alternative<TableData>(message);
      });
      fleet.Publish(kNewRevision);
      cr_assert(fleet.RunUntil([&] { return fleet.AllHave(kNewRevision); },
                               kApplyLimit),
                "%d VMs get no tables, seed %d", static_cast<int>(cut_off),
                static_cast<int>(seed));
    }
  }
}

// Guards against more calls to the store while nothing is wrong.
Test(fleet_restart, only_the_elected_vms_read_a_calm_store) {
  auto fleet = MakeRunningFleet(
      {.nodes = 32, .is_published = true, .max_view_age = seconds(1)});
  for (int second = 0; second < 60; ++second) {
    fleet.RunFor(seconds(1));
    const auto readers = std::count_if(
        fleet.nodes().begin(), fleet.nodes().end(),
        [](const FakeFleet::Node& node) { return node.is_reader; });
    cr_assert_eq(readers, 3, "%d readers in second %d",
                 static_cast<int>(readers), second);
  }
}

// Guards against a VM that trusts what it read before a pause.
Test(fleet_restart, a_paused_vm_reads_again_before_it_accepts_callers) {
  auto fleet = MakeRunningFleet({.nodes = kNodes, .is_published = true});
  fleet.Pause(kFirstRestarted);
  fleet.Publish(kNewRevision);
  fleet.RunFor(seconds(5));
  fleet.Resume(kFirstRestarted);
  cr_assert(fleet.RunUntil(
      [&] {
        CheckReadyOnesAreCurrent(fleet);
        return fleet.nodes()[kFirstRestarted].is_ready;
      },
      seconds(2)));
}

}  // namespace flamingoyoke
