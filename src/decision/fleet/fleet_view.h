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

// Who serves a service, as one node sees it.
struct Placement {
  // Home set in the order of rendezvous hashing.
  std::vector<VmId> home;
  // Owner of each target, in the order of ServiceRow::targets.
  std::vector<VmId> owners;

  auto operator==(const Placement&) const -> bool = default;
};

// Immutable snapshot that the fleet task publishes to the traffic and admin
// tasks. Snapshots and their table are shared between tasks: copying the
// member list and the table for each receiver would cost memory in proportion
// to the fleet.
struct FleetView {
  VmId self;
  Incarnation incarnation;
  // Null until a table is in force.
  std::shared_ptr<const Table> table;
  // What a published store holds, in place of a table; null until it is in
  // force.
  std::shared_ptr<const Routing> routing;
  std::shared_ptr<const Registry> registry;
  // Vms that callers of routed services are sent to, best first.
  std::vector<EntryVm> entries;
  // Entries that this vm exchanges messages with, in order; not itself.
  std::vector<VmId> linked_entries;
  // All known vms, this one included.
  std::vector<Member> members;
  // Alive vms that do not hear this one or are not heard by it, in order: a
  // request for a slot or a verification would be lost.
  std::vector<VmId> cut_off;
  // Placement of each service whose home set contains this vm.
  std::unordered_map<ServiceId, Placement> placements;
  // Whether this vm takes callers.
  bool ready = false;
  // Whether this vm is shutting down.
  bool leaving = false;

  // Whether callers of routed services are sent to `vm`.
  [[nodiscard]] auto IsEntry(const VmId& vm) const -> bool {
    return std::any_of(entries.begin(), entries.end(),
                       [&](const EntryVm& each) { return each.vm == vm; });
  }
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_FLEET_VIEW_H_
