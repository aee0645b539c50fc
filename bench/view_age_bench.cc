#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "bench/benches.h"
#include "bench/measurement.h"
#include "bench/measurement_list.h"
#include "core/name_table.h"
#include "decision/fleet/entry_set.h"
#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Which VMs lose power together.
enum class LossChoice {
  kRandom,
  // The readers of the store first, then those that stand by.
  kReadersFirst,
};

}  // namespace

template <>
struct EnumNames<LossChoice> {
  static constexpr auto kTable = std::to_array<NameEntry<LossChoice>>({
      {LossChoice::kRandom, "random"},
      {LossChoice::kReadersFirst, "readers first"},
  });
};
static_assert(IsDense<LossChoice>());

namespace {

constexpr std::uint64_t kOldRevision = 1;
constexpr std::uint64_t kNewRevision = 2;
// A change must be in force everywhere within this time.
constexpr Duration kApplyLimit = seconds(2);
constexpr Duration kMaxViewAge = seconds(1);
constexpr Duration kWarmUp = seconds(10);

class ViewAgeBench {
 public:
  explicit ViewAgeBench(std::uint64_t seed) : seed_(seed) {}

  auto Run() -> std::vector<Measurement> {
    for (const std::size_t nodes : {8, 32, 128}) {
      for (const auto choice :
           {LossChoice::kRandom, LossChoice::kReadersFirst}) {
        for (const auto share : {0.3, 0.6, 0.9}) {
          MeasureLoss(nodes, choice, share);
        }
      }
    }
    return figures_.Take();
  }

 private:
  static auto CountReads(const FakeFleet& fleet) -> std::uint64_t {
    std::uint64_t reads = 0;
    for (const auto& node : fleet.nodes()) {
      reads += node.counters.reads;
    }
    return reads;
  }

  static auto ChooseLost(FakeFleet& fleet, LossChoice choice, std::size_t count)
      -> std::set<std::size_t> {
    std::set<std::size_t> lost;
    if (choice == LossChoice::kReadersFirst) {
      const auto members = fleet.nodes().front().membership->Members();
      for (const auto& vm : ReaderVms(members, count)) {
        lost.insert(std::stoul(vm.value().substr(3)));
      }
    }
    while (lost.size() < count) {
      lost.insert(fleet.random().Below(fleet.nodes().size()));
    }
    return lost;
  }

  auto MeasureLoss(std::size_t nodes, LossChoice choice, double share) -> void {
    FakeFleetOptions options;
    options.nodes = nodes;
    options.seed = seed_;
    options.is_published = true;
    options.max_view_age = kMaxViewAge;
    FakeFleet fleet(options);
    fleet.Publish(kOldRevision);
    fleet.StartAll();
    fleet.RunFor(kWarmUp);
    const auto quiet_before = CountReads(fleet);
    fleet.RunFor(seconds(5));
    const auto quiet = CountReads(fleet) - quiet_before;
    const auto count =
        static_cast<std::size_t>(share * static_cast<double>(nodes));
    for (const auto index : ChooseLost(fleet, choice, count)) {
      fleet.Stop(index);
    }
    fleet.RunFor(milliseconds(50));
    fleet.Publish(kNewRevision);
    const auto reads_before = CountReads(fleet);
    const auto time = fleet.RunUntil(
        [&] { return fleet.AllHave(kNewRevision); }, seconds(10));
    figures_.set_profile(std::to_string(nodes) + " vms");
    const auto what = ", " + std::to_string(std::lround(share * 100)) +
                      "% lost, " + std::string(ToName(choice));
    figures_.AddBounded("change in force" + what, "s",
                        ToSeconds(time.value_or(seconds(10))),
                        ToSeconds(kApplyLimit));
    figures_.Add("reads of the store until then" + what, "calls",
                 static_cast<double>(CountReads(fleet) - reads_before));
    figures_.Add("reads of the store in 5 s before" + what, "calls",
                 static_cast<double>(quiet));
  }

  std::uint64_t seed_;
  MeasurementList figures_{"view_age"};
};

}  // namespace

auto RunViewAgeBench(std::uint64_t seed) -> std::vector<Measurement> {
  return ViewAgeBench(seed).Run();
}

}  // namespace flamingoyoke
