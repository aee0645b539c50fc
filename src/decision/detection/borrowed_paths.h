#ifndef FLAMINGOYOKE_DECISION_DETECTION_BORROWED_PATHS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_BORROWED_PATHS_H_

#include <map>

#include "core/ids.h"
#include "core/time.h"
#include "decision/detection/ejection_backoff.h"

namespace flamingoyoke {

// Avoids targets of other owners that this node cannot reach. Says nothing
// about the target itself. Not thread-safe.
class BorrowedPaths {
 public:
  // Path failures in a row; one or two may be connections that went silent.
  static constexpr int kFailures = 3;

  // Notes an attempt that got an answer, or failed on the path. Returns
  // whether the target is avoided from now on.
  auto OnOutcome(const TargetId& target, bool path_failed, TimePoint now)
      -> bool;

  [[nodiscard]] auto IsAvoided(const TargetId& target, TimePoint now) const
      -> bool;

  // Returns when the next target is used again, or TimePoint::max().
  [[nodiscard]] auto NextWake(TimePoint now) const -> TimePoint;

  auto Forget(const TargetId& target) -> void { entries_.erase(target); }
  auto Clear() -> void { entries_.clear(); }

 private:
  struct Entry {
    int failures = 0;
    TimePoint avoided_until;
    EjectionBackoff backoff;
  };

  // Targets with failures only; bounded by the row.
  std::map<TargetId, Entry> entries_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_BORROWED_PATHS_H_
