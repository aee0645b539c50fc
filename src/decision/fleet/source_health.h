#ifndef FLAMINGOYOKE_DECISION_FLEET_SOURCE_HEALTH_H_
#define FLAMINGOYOKE_DECISION_FLEET_SOURCE_HEALTH_H_

#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Tracks whether the published store failed recently, according to the VMs that
// read it. A VM that lost the store while others read it is no evidence of a
// failed store: it may be cut off or rejected. Not thread-safe.
class SourceHealth {
 public:
  // How long a failure counts; must exceed the time that live targets need to
  // register again after the store returns.
  static constexpr Duration kFailureWindow = std::chrono::seconds(4);

  // Updates the members and the VMs that read the store from now on. A member
  // that lost the store counts if it was a reader at the last call.
  auto UpdateMembers(const std::vector<Member>& members,
                     std::vector<VmId> readers,
                     TimePoint now) -> void;

  // Whether no reader lost the store within kFailureWindow.
  [[nodiscard]] auto WasHealthy(TimePoint now) const -> bool;

 private:
  std::vector<VmId> readers_;
  std::optional<TimePoint> last_failure_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_SOURCE_HEALTH_H_
