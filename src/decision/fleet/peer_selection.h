#ifndef FLAMINGOYOKE_DECISION_FLEET_PEER_SELECTION_H_
#define FLAMINGOYOKE_DECISION_FLEET_PEER_SELECTION_H_

#include <set>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_list.h"

namespace flamingoyoke {

// Returns at most kMaxChosenPeers vms that `self` exchanges heartbeats with,
// most important first. Two nodes with the same list choose each other:
// - the neighbours on two rings of the vms of the region, in the order of two
//   hashes, which together make a graph of small diameter;
// - `home_peers`, of which at most kMaxHomePeers are kept;
// - for each other failure domain of the region, and for each other region,
//   the neighbours on a ring of the vms of both, where they are of the other
//   one. On average that is one relay for each.
// A vm that joins or goes changes only the links of its neighbours.
// Thread-safe.
auto SelectPeers(const Member& self,
                 const MemberList::Records& records,
                 const std::set<VmId>& home_peers) -> std::vector<VmId>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PEER_SELECTION_H_
