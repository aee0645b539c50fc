#ifndef FLAMINGOYOKE_DECISION_FLEET_ADDRESS_SELECTION_H_
#define FLAMINGOYOKE_DECISION_FLEET_ADDRESS_SELECTION_H_

#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "decision/fleet/fleet_view.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Returns the vms that a caller in `caller_domain` should use for `service`,
// in the order in which to try them: the home set, the caller's failure domain
// first, otherwise shuffled so that callers spread. While no vm serves, the
// vms that come nearest to serving are returned instead; a dead vm never is.
// Returns nothing when the table is missing or has no such service.
// Not thread-safe with regard to `random`.
auto SelectAddresses(const FleetView& view,
                     const ServiceId& service,
                     const FailureDomainId& caller_domain,
                     Random& random) -> std::vector<Member>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_ADDRESS_SELECTION_H_
