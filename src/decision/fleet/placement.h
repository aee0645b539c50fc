#ifndef FLAMINGOYOKE_DECISION_FLEET_PLACEMENT_H_
#define FLAMINGOYOKE_DECISION_FLEET_PLACEMENT_H_

#include <vector>

#include "core/ids.h"
#include "decision/fleet/fleet_view.h"
#include "decision/fleet/member.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Returns the owner of each target, in the order of `targets`. Each member of
// `home` owns floor or ceil of targets / members. Targets and members are
// matched by rendezvous hashing, so that few targets move when the home set
// changes. All owners are empty if `home` is. Thread-safe.
auto OwnersOf(const std::vector<TargetSpec>& targets,
              const std::vector<VmId>& home) -> std::vector<VmId>;

// Returns the home set of the row's service and the owners of its targets. Only
// members that are alive, ready and not leaving are considered. Thread-safe.
auto PlacementOf(const ServiceRow& row, const std::vector<Member>& members)
    -> Placement;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PLACEMENT_H_
