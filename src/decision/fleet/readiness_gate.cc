#include "decision/fleet/readiness_gate.h"

#include <algorithm>

namespace flamingoyoke {

auto ReadinessGate::Resume(TimePoint now) -> void {
  wait_until_ = is_ready_ ? now + kResumePeerWait
                          : std::max(wait_until_, now + kResumePeerWait);
  source_wait_until_ = std::max(source_wait_until_, now + kSourceReadWait);
  is_ready_ = false;
}

auto ReadinessGate::IsReady(const ReadinessFacts& facts, TimePoint now)
    -> bool {
  if (is_ready_ || !facts.has_table || !facts.is_listening) {
    return is_ready_;
  }
  const bool awaits_source =
      facts.is_source_current && now < source_wait_until_;
  const bool knows_fleet =
      !awaits_source && facts.has_list &&
      facts.two_way_peers >= std::min(kMinTwoWayPeers, facts.other_vms) &&
      !facts.is_catching_up;
  is_ready_ = knows_fleet || facts.has_read_newest || now >= wait_until_;
  return is_ready_;
}

auto ReadinessGate::due() const -> std::optional<TimePoint> {
  if (is_ready_) {
    return std::nullopt;
  }
  return wait_until_;
}

}  // namespace flamingoyoke
