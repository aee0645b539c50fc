#ifndef FLAMINGOYOKE_DECISION_DETECTION_BORROWED_TARGET_MONITOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_BORROWED_TARGET_MONITOR_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/ejection_backoff.h"
#include "decision/detection/in_flight_attempts.h"

namespace flamingoyoke {

// Monitors the attempts of this node on targets of other owners. Finds overdue
// attempts, which are reported to the owner, and avoids targets that this node
// cannot reach. It does not determine the health of a target, which is up to
// its owner. Not thread-safe.
class BorrowedTargetMonitor {
 public:
  // Consecutive path failures after which a target is avoided. One or two may
  // be connections that went silent.
  static constexpr int kMaxFailures = 3;

  auto OnStarted(const TargetId& target, const InFlightAttempt& attempt)
      -> void;
  auto OnEnded(const TargetId& target, AttemptId attempt) -> void;

  // Returns the targets with attempts that have lasted at least `limit` and
  // were not returned before.
  auto TakeOverdue(Duration limit, TimePoint now) -> std::vector<TargetId>;

  // Returns when the next attempt becomes overdue, or TimePoint::max().
  [[nodiscard]] auto NextOverdue(Duration limit) const -> TimePoint;

  // Records an attempt that was answered or that failed on the network path.
  // Returns whether the target is avoided from now on because of it.
  auto OnOutcome(const TargetId& target, bool path_failed, TimePoint now)
      -> bool;

  [[nodiscard]] auto IsAvoided(const TargetId& target, TimePoint now) const
      -> bool;

  // Returns when the next avoided target becomes usable, or TimePoint::max().
  [[nodiscard]] auto NextWake(TimePoint now) const -> TimePoint;

  auto Forget(const TargetId& target) -> void;
  auto Clear() -> void;

 private:
  struct Entry {
    int failures = 0;
    TimePoint avoided_until;
    EjectionBackoff backoff;
  };

  // Only targets that had failures; limited by the targets of the row.
  std::map<TargetId, Entry> entries_;
  std::map<TargetId, InFlightAttempts> in_flight_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_BORROWED_TARGET_MONITOR_H_
