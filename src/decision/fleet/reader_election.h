#ifndef FLAMINGOYOKE_DECISION_FLEET_READER_ELECTION_H_
#define FLAMINGOYOKE_DECISION_FLEET_READER_ELECTION_H_

#include <cstddef>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Number of VMs in each failure domain that watch the configuration service.
// With two, one can fail without a gap; 25 domains make 50 watches, far below
// the service's limit of 2,000 reads per second.
inline constexpr std::size_t kReadersPerDomain = 2;

// Returns whether `self` is one of the readers of its failure domain: the VMs
// with the highest rendezvous scores among those that are alive and not
// leaving. Thread-safe.
auto IsElectedReader(const VmId& self, const std::vector<Member>& members)
    -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_READER_ELECTION_H_
