#ifndef FLAMINGOYOKE_DECISION_QUOTA_QUOTA_SCOPE_TRACKER_H_
#define FLAMINGOYOKE_DECISION_QUOTA_QUOTA_SCOPE_TRACKER_H_

#include <map>
#include <optional>
#include <set>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/fleet_view.h"
#include "decision/quota/quota_scope.h"

namespace flamingoyoke {

// Derives the scope of the quotas from the view of the fleet. After a cut, both
// sides replace the entries that they have lost, so each side would use the
// whole limit. The parts of lost entries therefore stay unused until the
// entries come back or kLostEntryMemory has passed. Create it when the process
// starts. Not thread-safe.
class QuotaScopeTracker {
 public:
  // Updates the lost entries and returns the scope. `now` must not go back.
  auto Update(const FleetView& view, TimePoint now) -> QuotaScope;

 private:
  [[nodiscard]] auto HasStartedTogether(const FleetView& view,
                                        TimePoint now) const -> bool;

  std::optional<TimePoint> started_;
  // The entries when none was lost.
  std::set<VmId> known_;
  std::map<VmId, TimePoint> lost_since_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_QUOTA_QUOTA_SCOPE_TRACKER_H_
