#include "decision/detection/borrowed_paths.h"

#include <algorithm>

namespace flamingoyoke {

auto BorrowedPaths::OnOutcome(const TargetId& target,
                              bool path_failed,
                              TimePoint now) -> bool {
  const auto found = entries_.find(target);
  if (!path_failed) {
    if (found != entries_.end()) {
      found->second.failures = 0;
      found->second.backoff.Recover(now);
    }
    return false;
  }
  auto& entry = found == entries_.end() ? entries_[target] : found->second;
  ++entry.failures;
  if (entry.failures < kFailures || now < entry.avoided_until) {
    return false;
  }
  entry.failures = 0;
  entry.avoided_until = now + entry.backoff.Eject(now);
  return true;
}

auto BorrowedPaths::IsAvoided(const TargetId& target, TimePoint now) const
    -> bool {
  const auto found = entries_.find(target);
  return found != entries_.end() && now < found->second.avoided_until;
}

auto BorrowedPaths::NextWake(TimePoint now) const -> TimePoint {
  auto wake = TimePoint::max();
  for (const auto& [target, entry] : entries_) {
    if (entry.avoided_until > now) {
      wake = std::min(wake, entry.avoided_until);
    }
  }
  return wake;
}

}  // namespace flamingoyoke
