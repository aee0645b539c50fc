#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_DIGESTS_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_DIGESTS_H_

#include <vector>

#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Returns whether `digests` has the same or a newer version of each shard of
// `others`. Thread-safe.
auto CoversAll(const std::vector<TableDigest>& digests,
               const std::vector<TableDigest>& others) -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_DIGESTS_H_
