#include "decision/fleet/source_health.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

auto SourceHealth::UpdateMembers(const std::vector<Member>& members,
                                 std::vector<VmId> readers,
                                 TimePoint now) -> void {
  const bool has_failed_reader =
      std::any_of(members.begin(), members.end(), [&](const Member& each) {
        return each.lost_source && std::find(readers_.begin(), readers_.end(),
                                             each.id) != readers_.end();
      });
  if (has_failed_reader) {
    last_failure_ = now;
  }
  readers_ = std::move(readers);
}

auto SourceHealth::WasHealthy(TimePoint now) const -> bool {
  return !last_failure_ || now - *last_failure_ >= kFailureWindow;
}

}  // namespace flamingoyoke
