#include "decision/fleet/source_health.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

auto SourceHealth::OnMembers(const std::vector<Member>& members,
                             std::vector<VmId> readers,
                             TimePoint now) -> void {
  const bool has_trouble =
      std::any_of(members.begin(), members.end(), [&](const Member& each) {
        return each.lost_source && std::find(readers_.begin(), readers_.end(),
                                             each.id) != readers_.end();
      });
  if (has_trouble) {
    last_trouble_ = now;
  }
  readers_ = std::move(readers);
}

auto SourceHealth::WasWell(TimePoint now) const -> bool {
  return !last_trouble_ || now - *last_trouble_ >= kMemory;
}

}  // namespace flamingoyoke
