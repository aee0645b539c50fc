#ifndef FLAMINGOYOKE_DECISION_FLEET_READER_ELECTION_H_
#define FLAMINGOYOKE_DECISION_FLEET_READER_ELECTION_H_

#include <cstddef>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Vms of each failure domain that watch the configuration service. Two, so
// that one can fail without a gap; 25 domains make 50 watches, far below the
// 2,000 reads a second that the service allows.
inline constexpr std::size_t kReadersPerDomain = 2;

// Returns whether `self` is among the readers of its failure domain: the vms
// with the highest rendezvous score of those that are alive and not leaving.
// Thread-safe.
auto IsElectedReader(const VmId& self, const std::vector<Member>& members)
    -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_READER_ELECTION_H_
