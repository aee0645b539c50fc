#include "decision/detection/drain_signals.h"

#include <algorithm>

namespace flamingoyoke {

auto DrainSignals::Set(const TargetId& target) -> void {
  ends_[target] = TimePoint::max();
}

auto DrainSignals::Retain(const std::set<TargetId>& targets) -> void {
  std::erase_if(
      ends_, [&](const auto& entry) { return !targets.contains(entry.first); });
}

auto DrainSignals::RemoveExpired(TimePoint now) -> void {
  std::erase_if(ends_, [&](const auto& entry) { return entry.second <= now; });
}

auto DrainSignals::Resume(TimePoint now, Duration lifetime) -> void {
  for (auto& [target, ends] : ends_) {
    ends = std::min(ends, now + lifetime);
  }
}

auto DrainSignals::Has(const TargetId& target, TimePoint now) const -> bool {
  const auto found = ends_.find(target);
  return found != ends_.end() && found->second > now;
}

auto DrainSignals::NextExpiry() const -> TimePoint {
  auto next = TimePoint::max();
  for (const auto& [target, ends] : ends_) {
    next = std::min(next, ends);
  }
  return next;
}

}  // namespace flamingoyoke
