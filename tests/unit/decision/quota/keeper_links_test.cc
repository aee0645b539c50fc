#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "decision/quota/quota_timing.h"
#include "unit/decision/fleet/fake_fleet.h"

namespace flamingoyoke {
namespace {

// Load: 40 entries in a fleet of 100, each of which needs a link to the four
// keepers, whose peers were bounded to 24. Guards against keepers that drop the
// links of some entries in turn.
Test(quota_links, all_entries_reach_all_keepers, .timeout = 120) {
  constexpr std::size_t kEntries = 40;
  FakeFleetOptions options;
  options.nodes = 100;
  options.quota_entries = kEntries;
  FakeFleet fleet(options);
  fleet.Publish(1);
  fleet.StartAll();
  fleet.RunFor(std::chrono::seconds(15));
  std::size_t missing = 0;
  std::size_t checked = 0;
  for (int second = 0; second < 10; ++second) {
    fleet.RunFor(std::chrono::seconds(1));
    for (std::size_t i = 0; i < kEntries; ++i) {
      const auto& peers = fleet.nodes()[i].two_way;
      for (std::size_t keeper = 0; keeper < kQuotaKeepers; ++keeper) {
        const auto& id = fleet.nodes()[keeper].self.id;
        checked += i == keeper ? 0 : 1;
        missing += i != keeper && std::find(peers.begin(), peers.end(), id) ==
                                      peers.end()
                       ? 1
                       : 0;
      }
      cr_assert_leq(fleet.nodes()[i].max_peers,
                    i < kQuotaKeepers ? kMaxHubPeers : kMaxPeers);
    }
  }
  cr_assert_eq(missing, 0U, "%zu of %zu links missing", missing, checked);
}

}  // namespace
}  // namespace flamingoyoke
