#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_PERMIT_ISSUER_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_PERMIT_ISSUER_H_

#include <map>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Grants permits for ejections. It runs on the first home member of a service,
// so that owners that eject targets at the same time do not together go below
// the capacity floor. Not thread-safe.
class EjectionPermitIssuer {
 public:
  // A permit reserves capacity for this long, until the notice of the ejection
  // has arrived.
  static constexpr Duration kReservationDuration = std::chrono::seconds(3);

  // Returns whether `target` may be ejected while the targets in `out_of_use`
  // are unavailable. A repeated request does not count twice.
  auto TryGrant(const ServiceRow& row,
                const TargetId& target,
                const std::set<TargetId>& out_of_use,
                TimePoint now) -> bool;

  // Removes all permits, which are stale after a pause of the process.
  auto Clear() -> void { reserved_until_.clear(); }

 private:
  std::map<TargetId, TimePoint> reserved_until_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_EJECTION_PERMIT_ISSUER_H_
