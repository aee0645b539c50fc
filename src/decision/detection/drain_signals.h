#ifndef FLAMINGOYOKE_DECISION_DETECTION_DRAIN_SIGNALS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_DRAIN_SIGNALS_H_

#include <map>
#include <set>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// Drain signals that this node received from targets itself. They only expire
// after a pause of the process, unless they are received again. Not
// thread-safe.
class DrainSignals {
 public:
  auto Set(const TargetId& target) -> void;
  auto Clear(const TargetId& target) -> void { ends_.erase(target); }
  // Removes the signals of all targets except `targets`.
  auto Retain(const std::set<TargetId>& targets) -> void;
  auto RemoveExpired(TimePoint now) -> void;
  // Limits the validity of all signals to `lifetime` from `now`.
  auto Resume(TimePoint now, Duration lifetime) -> void;

  // Returns whether there is a valid signal of `target`.
  [[nodiscard]] auto Has(const TargetId& target, TimePoint now) const -> bool;
  // Returns when the next signal expires, or TimePoint::max().
  [[nodiscard]] auto NextExpiry() const -> TimePoint;

 private:
  // When each signal expires; TimePoint::max() before a pause.
  std::map<TargetId, TimePoint> ends_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_DRAIN_SIGNALS_H_
