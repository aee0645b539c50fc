#ifndef FLAMINGOYOKE_DECISION_FLEET_ENTRY_SET_H_
#define FLAMINGOYOKE_DECISION_FLEET_ENTRY_SET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/vm_resources.h"

namespace flamingoyoke {

// A VM that callers are directed to.
struct EntryVm {
  VmId vm;
  // Share of the callers that it gets, relative to the other entries.
  std::uint32_t weight = 1;

  auto operator==(const EntryVm&) const -> bool = default;
};

// Selects the entry VMs, to which callers of all routed services are directed.
// Failure evidence about targets must be concentrated: one VM in forty would
// see too little of it. The set is therefore as small as the load allows and
// starts with the VMs of the largest capacity. Each failure domain gets one
// entry before any gets a second.
//
// Every VM computes the set independently. Sets of different sizes share their
// first entries, so VMs that briefly disagree about the load still direct
// callers to nearly the same VMs. Not thread-safe.
class EntrySet {
 public:
  // Entries are added until the load is at most this share of their capacity.
  // The rest is headroom for peaks, for the load of failed entries, and for the
  // work that entries do as members of the fleet.
  static constexpr double kTargetUtilization = 0.5;
  // The entries have at least this share of the capacity of all serving VMs,
  // whatever the load, because load is only measured once callers have arrived.
  static constexpr double kMinFleetCapacityShare = 0.125;
  // The peak load within this window counts, because callers of failed entries
  // come back.
  static constexpr Duration kPeakWindow = std::chrono::seconds(10);

  // `min_entries` is the number of entries in an idle fleet.
  explicit EntrySet(std::size_t min_entries) : min_entries_(min_entries) {}

  // Updates the load from `members` and returns the entries, best first. `now`
  // must not go back.
  auto Update(const std::vector<Member>& members, TimePoint now)
      -> std::vector<EntryVm>;

 private:
  // Highest value of a total load within kPeakWindow.
  struct Peak {
    double value = 0;
    TimePoint reached;

    auto Add(double sum, TimePoint now) -> void;
  };

  std::size_t min_entries_;
  Peak processor_millicores_;
  Peak link_kbps_;
};

// Returns at most `count` entries for `caller`, best first. The result for a
// caller is stable as long as its entries stay in the set, and entries are
// distributed over callers in proportion to their weights. `caller` is any
// stable identifier of the caller. Thread-safe.
auto EntriesForCaller(const std::vector<EntryVm>& entries,
                      std::string_view caller,
                      std::size_t count) -> std::vector<VmId>;

// Returns the VMs that read the published configuration and the registry on
// behalf of the fleet: the VMs ranked first as entries, whether or not they are
// ready yet. VMs that lost the store come last, because the store may reject
// some VMs and serve others. So do the VMs in `silent`, which this VM has not
// heard from but which the fleet has not declared dead yet: while all readers
// are gone, changes go unnoticed. Thread-safe.
auto ReaderVms(const std::vector<Member>& members,
               std::size_t size,
               const std::set<VmId>& silent = {}) -> std::vector<VmId>;

// Returns whether any VM that may be a reader neither lost the store nor is in
// `silent`. Thread-safe.
auto AnyCanRead(const std::vector<Member>& members,
                const std::set<VmId>& silent) -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_ENTRY_SET_H_
