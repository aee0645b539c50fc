#include "decision/fleet/helper_duties.h"

#include <algorithm>
#include <cstddef>

#include "decision/fleet/membership_timing.h"

namespace flamingoyoke {
namespace {

// Each of 24 peers may ask about several vms when a failure domain is lost.
constexpr std::size_t kMaxDuties = 256;

}  // namespace

auto HelperDuties::Add(const VmId& asker, const VmId& subject, TimePoint now)
    -> void {
  const auto same =
      std::find_if(duties_.begin(), duties_.end(), [&](const Duty& duty) {
        return duty.asker == asker && duty.subject == subject;
      });
  if (same != duties_.end()) {
    same->until = now + kHelperPatience;
    return;
  }
  if (duties_.size() < kMaxDuties) {
    duties_.push_back({asker, subject, now + kHelperPatience});
  }
}

auto HelperDuties::TakeAskers(const VmId& subject) -> std::vector<VmId> {
  std::vector<VmId> askers;
  for (const auto& duty : duties_) {
    if (duty.subject == subject) {
      askers.push_back(duty.asker);
    }
  }
  duties_.erase(
      std::remove_if(duties_.begin(), duties_.end(),
                     [&](const Duty& duty) { return duty.subject == subject; }),
      duties_.end());
  return askers;
}

auto HelperDuties::Expire(TimePoint now) -> void {
  duties_.erase(
      std::remove_if(duties_.begin(), duties_.end(),
                     [&](const Duty& duty) { return duty.until <= now; }),
      duties_.end());
}

}  // namespace flamingoyoke
