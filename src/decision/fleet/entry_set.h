#ifndef FLAMINGOYOKE_DECISION_FLEET_ENTRY_SET_H_
#define FLAMINGOYOKE_DECISION_FLEET_ENTRY_SET_H_

#include <cstddef>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Returns the vms that callers of all routed services are sent to, best first:
// the home set of the gateways. A few vms for all services hold the evidence
// about the targets together, which one vm in forty would not see. One of each
// failure domain comes before a second of any. Thread-safe.
auto EntryVms(const std::vector<Member>& members, std::size_t size)
    -> std::vector<VmId>;

// Returns the vms that read the published configuration and the registry for
// all: the first of the vms that callers are sent to, and before any vm is
// ready those that will be. Vms that lost the store come last: it may turn some
// away and serve others. Thread-safe.
auto ReaderVms(const std::vector<Member>& members, std::size_t size)
    -> std::vector<VmId>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_ENTRY_SET_H_
