#ifndef FLAMINGOYOKE_DECISION_GATEWAY_TARGET_OWNERSHIP_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_TARGET_OWNERSHIP_H_

#include <cstdint>
#include <set>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/entry_set.h"
#include "decision/fleet/member.h"
#include "table/registry.h"

namespace flamingoyoke {

// A gateway that shares the targets of a service with others.
struct PoolGateway {
  VmId vm;
  FailureDomainId failure_domain;
  // Share of the targets that it owns, relative to the other gateways.
  std::uint32_t weight = 1;

  auto operator==(const PoolGateway&) const -> bool = default;
};

// Returns the gateways that own targets: the `entries`, weighted like their
// callers. An entry that gets no requests yet owns nothing while at least half
// of the entries by weight get some, because its targets would be idle until
// callers ask for addresses again. `members` must be ordered by id.
// Thread-safe.
auto OwningGateways(const std::vector<EntryVm>& entries,
                    const std::vector<Member>& members)
    -> std::vector<PoolGateway>;

// Returns the targets that `self` owns. Each target that is not leaving has one
// owner, which takes requests to it first and alone decides when to try it
// again after failures. Evidence about a target is then up to date where it is
// needed, however many gateways there are.
//
// No gateway owns more than its share by weight, rounded up. A target goes to a
// gateway of its own failure domain if one has room. All gateways with the same
// lists get the same owners. Thread-safe.
auto OwnedTargets(const VmId& self,
                  const std::vector<RegisteredTarget>& targets,
                  const std::vector<PoolGateway>& gateways)
    -> std::set<TargetId>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_TARGET_OWNERSHIP_H_
