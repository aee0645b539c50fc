#ifndef FLAMINGOYOKE_DECISION_DETECTION_BORROWED_TARGET_MONITOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_BORROWED_TARGET_MONITOR_H_

#include <map>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/ejection_backoff.h"
#include "decision/detection/in_flight_attempts.h"

namespace flamingoyoke {

// Watches the attempts of this node on targets of other owners: finds those
// that are overdue, so that the owner can be told, and avoids targets that
// this node cannot reach. Says nothing about the target itself. Not
// thread-safe.
class BorrowedTargetMonitor {
 public:
  // Path failures in a row; one or two may be connections that went silent.
  static constexpr int kMaxFailures = 3;

  auto OnStarted(const TargetId& target, const InFlightAttempt& attempt)
      -> void;
  auto OnEnded(const TargetId& target, AttemptId attempt) -> void;

  // Returns the targets with attempts that have lasted `limit` or more and
  // were not returned before.
  auto TakeOverdue(Duration limit, TimePoint now) -> std::vector<TargetId>;

  // Returns when the next attempt is overdue, or TimePoint::max().
  [[nodiscard]] auto NextOverdue(Duration limit) const -> TimePoint;

  // Notes an attempt that got an answer, or failed on the path. Returns
  // whether the target is avoided from now on.
  auto OnOutcome(const TargetId& target, bool path_failed, TimePoint now)
      -> bool;

  [[nodiscard]] auto IsAvoided(const TargetId& target, TimePoint now) const
      -> bool;

  // Returns when the next target is used again, or TimePoint::max().
  [[nodiscard]] auto NextWake(TimePoint now) const -> TimePoint;

  auto Forget(const TargetId& target) -> void;
  auto Clear() -> void;

 private:
  struct Entry {
    int failures = 0;
    TimePoint avoided_until;
    EjectionBackoff backoff;
  };

  // Targets with failures only; bounded by the row.
  std::map<TargetId, Entry> entries_;
  std::map<TargetId, InFlightAttempts> in_flight_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_BORROWED_TARGET_MONITOR_H_
