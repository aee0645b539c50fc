#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBER_RECORD_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBER_RECORD_H_

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// A vm with what only this node knows of it.
struct MemberRecord {
  Member member;
  // HashOf(member.id).
  std::uint64_t hash = 0;
  // When its liveness changed.
  TimePoint liveness_changed;
  // End of the time to refute a claim that it is dead, if there is one.
  std::optional<TimePoint> refutation_deadline;
};

// Returns whether the vm was ever heard, by any node. Thread-safe.
inline auto HasBeenHeard(const MemberRecord& record) -> bool {
  return record.member.incarnation.value() > 0;
}

// Returns whether the vm counts as part of the fleet: proven and not dead.
// Thread-safe.
inline auto IsPresent(const MemberRecord& record) -> bool {
  return HasBeenHeard(record) && record.member.liveness != Liveness::kDead;
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBER_RECORD_H_
