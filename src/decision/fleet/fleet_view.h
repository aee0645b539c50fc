#ifndef FLAMINGOYOKE_DECISION_FLEET_FLEET_VIEW_H_
#define FLAMINGOYOKE_DECISION_FLEET_FLEET_VIEW_H_

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/entry_set.h"
#include "decision/fleet/member.h"
#include "table/registry.h"
#include "table/routing.h"
#include "table/service_row.h"

namespace flamingoyoke {

// The VMs that serve a service and the owners of its targets, as one node sees
// them.
struct Placement {
  // Home set in the order of rendezvous hashing.
  std::vector<VmId> home;
  // Owner of each target, in the order of ServiceRow::targets.
  std::vector<VmId> owners;

  auto operator==(const Placement&) const -> bool = default;
};

// Immutable snapshot that the fleet task publishes to the traffic and admin
// tasks. Tasks share snapshots and their table, because copying the member list
// and the table for each receiver would cost memory in proportion to the fleet.
struct FleetView {
  VmId self;
  Incarnation incarnation;
  // Null until a table is in force.
  std::shared_ptr<const Table> table;
  // Contents of a published store, used instead of a table; null until in
  // force.
  std::shared_ptr<const Routing> routing;
  std::shared_ptr<const Registry> registry;
  // Whether a newer version of the routes may be in force elsewhere: one is
  // being fetched, or no reader of the store has confirmed these for too long.
  bool has_outdated_routes = false;
  // VMs that callers of routed services are directed to, best first.
  std::vector<EntryVm> entries;
  // Entries with a two-way link to this VM, in order; not itself.
  std::vector<VmId> linked_entries;
  // All known VMs, this one included.
  std::vector<Member> members;
  // Alive peers without a two-way link, in order. Slot requests and
  // verification requests to them would be lost.
  std::vector<VmId> cut_off;
  // Placement of each service whose home set contains this VM.
  std::unordered_map<ServiceId, Placement> placements;
  // Whether this VM accepts callers.
  bool ready = false;
  // Whether this VM is shutting down.
  bool leaving = false;

  // Whether callers of routed services are directed to `vm`.
  [[nodiscard]] auto IsEntry(const VmId& vm) const -> bool {
    return std::any_of(entries.begin(), entries.end(),
                       [&](const EntryVm& each) { return each.vm == vm; });
  }
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_FLEET_VIEW_H_
