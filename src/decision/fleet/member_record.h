#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBER_RECORD_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBER_RECORD_H_

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// A member and the state that only this node keeps about it.
struct MemberRecord {
  Member member;
  // HashOf(member.id).
  std::uint64_t hash = 0;
  // When the liveness last changed.
  TimePoint liveness_changed;
  // Deadline for refuting a report of its death, if there is one.
  std::optional<TimePoint> refutation_deadline;
};

// Returns whether any node has ever heard from the VM. Thread-safe.
inline auto HasBeenHeard(const MemberRecord& record) -> bool {
  return record.member.incarnation.value() > 0;
}

// Returns whether the VM is part of the fleet: heard from and not dead.
// Thread-safe.
inline auto IsPresent(const MemberRecord& record) -> bool {
  return HasBeenHeard(record) && record.member.liveness != Liveness::kDead;
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBER_RECORD_H_
