#ifndef FLAMINGOYOKE_DECISION_FLEET_ADDRESS_SELECTION_H_
#define FLAMINGOYOKE_DECISION_FLEET_ADDRESS_SELECTION_H_

#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "decision/fleet/fleet_view.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Returns the VMs that a caller in `caller_domain` should use for `service`, in
// order of preference: the home set, shuffled to spread callers, with VMs of
// the caller's failure domain first. If no VM is serving, returns the VMs of
// the best available fallback tier instead, but never dead ones. Returns
// nothing if the table is missing or has no such service. Not thread-safe with
// regard to `random`.
auto SelectAddresses(const FleetView& view,
                     const ServiceId& service,
                     const FailureDomainId& caller_domain,
                     Random& random) -> std::vector<Member>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_ADDRESS_SELECTION_H_
