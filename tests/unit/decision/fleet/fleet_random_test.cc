#include <criterion/criterion.h>

#include <cstdint>
#include <vector>

#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kNodes = 12;
constexpr int kSteps = 40;
constexpr std::uint64_t kSeeds = 6;

// Injects random faults into a fleet: lost, duplicated and reordered messages,
// pauses, restarts, partitions, one-way cuts, rejected tables, and a service
// that is reachable by some nodes only or returns an older table.
class RandomFaults {
 public:
  explicit RandomFaults(std::uint64_t seed)
      : random_(seed), fleet_(OptionsFor(seed)) {
    fleet_.Publish(++revision_);
    fleet_.StartAll();
    fleet_.RunFor(seconds(5));
  }

  auto Step() -> void {
    const auto node = random_.Below(kNodes);
    switch (random_.Below(9)) {
      case 0:
        fleet_.Pause(node);
        break;
      case 1:
      case 2:
        ResumeAll();
        break;
      case 3:
        fleet_.Stop(node);
        break;
      case 4:
        StartStopped();
        break;
      case 5:
        Cut();
        break;
      case 6:
        fleet_.SetLinks(nullptr);
        break;
      case 7:
        fleet_.Publish(++revision_, random_.Below(3) > 0);
        break;
      default:
        fleet_.Publish(1 + random_.Below(revision_));
        break;
    }
    fleet_.RunFor(milliseconds(random_.Below(4000)));
  }

  // Ends all faults and publishes a valid table.
  auto EndFaults() -> void {
    fleet_.SetLinks(nullptr);
    fleet_.SetLoss(0);
    ResumeAll();
    StartStopped();
    fleet_.Publish(++revision_);
  }

  auto fleet() -> FakeFleet& { return fleet_; }
  [[nodiscard]] auto revision() const -> std::uint64_t { return revision_; }

 private:
  static auto OptionsFor(std::uint64_t seed) -> FakeFleetOptions {
    FakeFleetOptions options;
    options.nodes = kNodes;
    options.seed = seed;
    options.loss = 0.05;
    options.duplication = 0.05;
    options.jitter = milliseconds(40);
    options.table_bytes = 50;
    return options;
  }

  auto Cut() -> void {
    const auto half = random_.Below(kNodes);
    const auto from_cut = random_.Below(kNodes);
    const bool is_one_way = random_.Below(2) == 0;
    fleet_.SetLinks([=](std::size_t from, std::size_t to) {
      return is_one_way ? from != from_cut || to % 2 == 0
                        : (from < half) == (to < half);
    });
  }
  auto ResumeAll() -> void {
    for (std::size_t i = 0; i < kNodes; ++i) {
      fleet_.Resume(i);
    }
  }
  auto StartStopped() -> void {
    for (std::size_t i = 0; i < kNodes; ++i) {
      if (!fleet_.nodes()[i].is_running) {
        fleet_.Start(i);
      }
    }
  }

  Random random_;
  std::uint64_t revision_ = 0;
  FakeFleet fleet_;
};

auto CheckInvariants(RandomFaults& faults, std::uint64_t seed, int step)
    -> void {
  for (const auto& node : faults.fleet().nodes()) {
    cr_assert(!node.revision_regressed,
              "seed %lu step %d: a revision went back",
              static_cast<unsigned long>(seed), step);
    cr_assert(!node.rejected_in_force,
              "seed %lu step %d: a refused table is in force",
              static_cast<unsigned long>(seed), step);
    cr_assert_leq(node.max_peers, kMaxPeers, "seed %lu step %d",
                  static_cast<unsigned long>(seed), step);
  }
}

// Guards against sequences of faults that violate an invariant: revisions never
// go back, rejected tables are never in force, the number of peers is bounded,
// and the fleet converges to one list and one revision once the faults end.
// Convergence implies that no VM that is heard stays dead.
Test(fleet_random, keeps_invariants_under_random_faults, .timeout = 240) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RandomFaults faults(seed);
    for (int step = 0; step < kSteps; ++step) {
      faults.Step();
      CheckInvariants(faults, seed, step);
    }
    faults.EndFaults();
    const auto convergence_time = faults.fleet().RunUntil(
        [&] {
          return faults.fleet().HasConverged() &&
                 faults.fleet().AllHave(faults.revision());
        },
        seconds(60), milliseconds(100));
    cr_assert(convergence_time.has_value(), "seed %lu did not converge",
              static_cast<unsigned long>(seed));
    CheckInvariants(faults, seed, kSteps);
  }
}

// Guards against message loss being mistaken for the death of a VM: with a
// tenth of the messages lost, no VM is considered dead anywhere for longer than
// a refutation takes.
Test(fleet_random, message_loss_causes_no_lasting_false_death, .timeout = 240) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto fleet = MakeRunningFleet({.nodes = kNodes, .seed = seed});
    fleet.SetLoss(0.1);
    std::size_t dead_in_a_row = 0;
    for (int step = 0; step < 1200; ++step) {
      fleet.RunFor(milliseconds(100));
      dead_in_a_row = fleet.HasConverged() ? 0 : dead_in_a_row + 1;
      cr_assert_leq(dead_in_a_row, 50, "seed %lu step %d",
                    static_cast<unsigned long>(seed), step);
    }
  }
}

}  // namespace
}  // namespace flamingoyoke
