#ifndef FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_
#define FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_

#include <cstddef>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Returns whether a member may be in a home set: it is alive, ready and not
// leaving. Thread-safe.
auto IsServing(const Member& member) -> bool;

// Returns the indexes in `members` of at most `size` of the `candidates`
// (indexes, too) for `service`, best first: the best member of each failure
// domain by rendezvous hashing, then the second best of each, and so on. When
// a member goes, the others stay and one may join. Thread-safe.
auto HomeSetAmong(const ServiceId& service,
                  std::size_t size,
                  const std::vector<Member>& members,
                  const std::vector<std::size_t>& candidates)
    -> std::vector<std::size_t>;

// Returns the home set of `service` among the serving members.
// Thread-safe.
auto HomeSetOf(const ServiceId& service,
               std::size_t size,
               const std::vector<Member>& members) -> std::vector<std::size_t>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_HOME_SET_H_
