#ifndef FLAMINGOYOKE_DECISION_FLEET_PEER_SELECTION_H_
#define FLAMINGOYOKE_DECISION_FLEET_PEER_SELECTION_H_

#include <set>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_list.h"

namespace flamingoyoke {

// Returns at most kMaxChosenPeers VMs for `self` to exchange heartbeats with,
// most important first. The choice is symmetric: two nodes with the same list
// choose each other.
// - The neighbours on two rings of the failure domain's VMs, ordered by two
//   hashes, which together form a graph of small diameter. Bytes between
//   failure domains are billed, so that only the links below cross them.
// - At most kMaxHomePeers of `home_peers`, beginning with `first`. The choice
//   of these is not symmetric: others have temporary links to a hub.
// - For each other failure domain of the region, and for each other region, the
//   neighbours on a ring of the VMs of both groups, if they belong to the other
//   one. This gives one link to each on average.
// A VM that joins or leaves changes only the links of its neighbours.
// Thread-safe.
auto SelectPeers(const Member& self,
                 const MemberList::Records& records,
                 const std::set<VmId>& home_peers,
                 const std::vector<VmId>& first = {}) -> std::vector<VmId>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PEER_SELECTION_H_
