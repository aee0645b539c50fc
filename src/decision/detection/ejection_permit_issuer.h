#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_PERMIT_ISSUER_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_PERMIT_ISSUER_H_

#include <map>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Permits for ejections, given by the first home member of a service, so that
// owners that eject at the same time together stay above the floor. Not
// thread-safe.
class EjectionPermitIssuer {
 public:
  // A permit counts as an ejection until its notice has surely arrived.
  static constexpr Duration kReservationDuration = std::chrono::seconds(3);

  // Returns whether `target` may be ejected when those in `out_of_use` are
  // not available already. A repeated request gets the same answer.
  auto TryGrant(const ServiceRow& row,
                const TargetId& target,
                const std::set<TargetId>& out_of_use,
                TimePoint now) -> bool;

  // Forgets all permits, which are out of date after a pause.
  auto Clear() -> void { reserved_until_.clear(); }

 private:
  std::map<TargetId, TimePoint> reserved_until_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_EJECTION_PERMIT_ISSUER_H_
