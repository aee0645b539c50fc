#include "decision/detection/borrowed_target_monitor.h"

#include <algorithm>

namespace flamingoyoke {

auto BorrowedTargetMonitor::OnStarted(const TargetId& target,
                                      const InFlightAttempt& attempt) -> void {
  in_flight_[target].Start(attempt);
}

auto BorrowedTargetMonitor::OnEnded(const TargetId& target, AttemptId attempt)
    -> void {
  const auto found = in_flight_.find(target);
  if (found == in_flight_.end()) {
    return;
  }
  found->second.End(attempt);
  if (!found->second.OldestStart()) {
    in_flight_.erase(found);
  }
}

auto BorrowedTargetMonitor::TakeOverdue(Duration limit, TimePoint now)
    -> std::vector<TargetId> {
  std::vector<TargetId> targets;
  for (auto& [target, attempts] : in_flight_) {
    if (!attempts.TakeOverdue(limit, now).empty()) {
      targets.push_back(target);
    }
  }
  return targets;
}

auto BorrowedTargetMonitor::NextOverdue(Duration limit) const -> TimePoint {
  auto wake = TimePoint::max();
  for (const auto& [target, attempts] : in_flight_) {
    if (const auto oldest = attempts.OldestStartNotOverdue()) {
      wake = std::min(wake, *oldest + limit);
    }
  }
  return wake;
}

auto BorrowedTargetMonitor::Forget(const TargetId& target) -> void {
  entries_.erase(target);
  in_flight_.erase(target);
}

auto BorrowedTargetMonitor::Clear() -> void {
  entries_.clear();
  in_flight_.clear();
}

auto BorrowedTargetMonitor::OnOutcome(const TargetId& target,
                                      bool path_failed,
                                      TimePoint now) -> bool {
  const auto found = entries_.find(target);
  if (!path_failed) {
    if (found != entries_.end()) {
      found->second.failures = 0;
      found->second.backoff.MarkHealthy(now);
    }
    return false;
  }
  auto& entry = found == entries_.end() ? entries_[target] : found->second;
  ++entry.failures;
  if (entry.failures < kMaxFailures || now < entry.avoided_until) {
    return false;
  }
  entry.failures = 0;
  entry.avoided_until = now + entry.backoff.StartEjection(now);
  return true;
}

auto BorrowedTargetMonitor::IsAvoided(const TargetId& target,
                                      TimePoint now) const -> bool {
  const auto found = entries_.find(target);
  return found != entries_.end() && now < found->second.avoided_until;
}

auto BorrowedTargetMonitor::NextWake(TimePoint now) const -> TimePoint {
  auto wake = TimePoint::max();
  for (const auto& [target, entry] : entries_) {
    if (entry.avoided_until > now) {
      wake = std::min(wake, entry.avoided_until);
    }
  }
  return wake;
}

}  // namespace flamingoyoke
