#ifndef FLAMINGOYOKE_DECISION_FLEET_SOURCE_HEALTH_H_
#define FLAMINGOYOKE_DECISION_FLEET_SOURCE_HEALTH_H_

#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Remembers whether the published store had trouble lately, as the vms that
// read it say. A vm that lost the store while others read it says nothing about
// the store: it may be cut off, or turned away. Not thread-safe.
class SourceHealth {
 public:
  // Trouble is remembered for this long; longer than live targets need to
  // register again after the store's return.
  static constexpr Duration kFailureWindow = std::chrono::seconds(4);

  // Takes the members as they are now, and which of them read from now on. A
  // member that lost the store counts if it was a reader at the last call.
  auto UpdateMembers(const std::vector<Member>& members,
                     std::vector<VmId> readers,
                     TimePoint now) -> void;

  // Whether no reader lost the store within kMemory.
  [[nodiscard]] auto WasHealthy(TimePoint now) const -> bool;

 private:
  std::vector<VmId> readers_;
  std::optional<TimePoint> last_failure_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_SOURCE_HEALTH_H_
