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

// A vm that callers are sent to.
struct EntryVm {
  VmId vm;
  // Part of the callers that it gets, relative to the other entries.
  std::uint32_t weight = 1;

  auto operator==(const EntryVm&) const -> bool = default;
};

// Decides which vms callers of all routed services are sent to: the home set of
// the gateways. A few vms for all services hold the evidence about the targets
// together, which one vm in forty would not see; so the set is as small as the
// load allows, and begins with the vms that can take most. One of each failure
// domain comes before a second of any.
//
// All vms compute the set by themselves. Sets of different sizes share their
// first entries, so vms that disagree on the load for a moment still send
// callers to nearly the same vms. Not thread-safe.
class EntrySet {
 public:
  // Entries are added until the load takes this part of what they have. The
  // rest is for peaks, for the load of lost entries, and for the part that the
  // entries have in the fleet.
  static constexpr double kTargetUtilization = 0.5;
  // The entries have at least this part of what the serving vms have together,
  // whatever the load: it is known only once callers have come.
  static constexpr double kMinFleetCapacityShare = 0.125;
  // The highest load of this time counts: callers of lost entries come back.
  static constexpr Duration kPeakWindow = std::chrono::seconds(10);

  // `least` is the number of entries of a fleet that is idle.
  explicit EntrySet(std::size_t min_entries) : min_entries_(min_entries) {}

  // Takes the members of the fleet at `now`, which must not go back, and
  // returns the entries, best first.
  auto Update(const std::vector<Member>& members, TimePoint now)
      -> std::vector<EntryVm>;

 private:
  // The highest of a sum of loads.
  struct Peak {
    double value = 0;
    TimePoint reached;

    auto Add(double sum, TimePoint now) -> void;
  };

  std::size_t min_entries_;
  Peak processor_millicores_;
  Peak link_kbps_;
};

// Returns the entries that `caller` is told, best first, at most `count`. Each
// caller is told the same ones as long as they are entries, and each entry is
// told to a part of the callers that follows its weight. `caller` is anything
// that stays the same for a caller and differs between callers. Thread-safe.
auto EntriesForCaller(const std::vector<EntryVm>& entries,
                      std::string_view caller,
                      std::size_t count) -> std::vector<VmId>;

// Returns the vms that read the published configuration and the registry for
// all: the first of the vms that callers are sent to, and before any vm is
// ready those that will be. Vms that lost the store come last: it may turn some
// away and serve others. So do the vms in `silent`, which this vm has not heard
// for too long to wait until the fleet holds them for dead: while all readers
// are gone, nobody notices a change. Thread-safe.
auto ReaderVms(const std::vector<Member>& members,
               std::size_t size,
               const std::set<VmId>& silent = {}) -> std::vector<VmId>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_ENTRY_SET_H_
