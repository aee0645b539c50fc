#ifndef FLAMINGOYOKE_DECISION_FLEET_UPDATE_RECEIVERS_H_
#define FLAMINGOYOKE_DECISION_FLEET_UPDATE_RECEIVERS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/link_class.h"

namespace flamingoyoke {

// Mean number of VMs of a failure domain that pass a change on to another one.
// With 8 and a loss of all copies of one in 3,000 changes, the third domain and
// the comparison of digests still deliver it.
inline constexpr double kRelaysPerDomain = 8;

// A link over which changes of members may be sent.
struct UpdateLink {
  VmId peer;
  LinkClass link = LinkClass::kUnknown;
  // Hash of the peer's failure domain, or of its region if it is another one.
  std::uint64_t group = 0;
};

// One change as seen by one VM.
struct UpdateOrigin {
  // Identifies the changed VM and its version.
  std::uint64_t change = 0;
  // Hash of the id of the VM that sends.
  std::uint64_t self = 0;
  // Number of VMs in its failure domain, itself included.
  std::size_t domain_size = 1;
  // Whether the sender found the change itself, so that nobody else may send
  // it.
  bool is_first = false;
};

// Returns the peers that get a change: all in the failure domain of the sender,
// and one in each other domain or region if the sender is among the about
// kRelaysPerDomain VMs of its domain that relay this change there. Bytes
// between domains then don't grow with the number of links. Thread-safe.
auto UpdateReceivers(const UpdateOrigin& origin,
                     const std::vector<UpdateLink>& links) -> std::set<VmId>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_UPDATE_RECEIVERS_H_
