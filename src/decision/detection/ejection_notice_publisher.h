#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_PUBLISHER_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_PUBLISHER_H_

#include <map>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Keeps other nodes informed about targets that this node decides on: sends
// each change at once and repeats it, since messages get lost. Not
// thread-safe.
class EjectionNoticePublisher {
 public:
  static constexpr Duration kRenewalInterval = std::chrono::seconds(1);
  // First renewal after a change; the interval doubles up to kRenewalInterval.
  // With renewals each second only, 4% of the drains were unknown after 2 s
  // where a fifth of the messages is lost.
  static constexpr Duration kFirstRenewalDelay = std::chrono::milliseconds(100);
  // Three renewals; a notice of a lost owner holds no longer, and its
  // successor is chosen after 1.5 s.
  static constexpr Duration kNoticeLifetime = std::chrono::seconds(3);
  // How often the return to health is repeated.
  static constexpr int kHealthyRepeatCount = 5;

  // Returns the notice to send now about a target in this state, if any. The
  // service of the notice is empty.
  auto Update(const TargetId& target,
              TargetState state,
              double severity,
              TimePoint now) -> std::optional<EjectionNotice>;

  // Stops to announce the target. Earlier notices run out at the receivers.
  auto Forget(const TargetId& target) -> void { entries_.erase(target); }

  // Returns whether the target was announced.
  [[nodiscard]] auto Has(const TargetId& target) const -> bool {
    return entries_.contains(target);
  }

  // Returns when Update() is due without a change, or TimePoint::max().
  [[nodiscard]] auto NextWake() const -> TimePoint;

 private:
  struct Entry {
    EjectionNotice notice;
    TimePoint renew_at;
    Duration interval = kFirstRenewalDelay;
    int repeats_left = 0;
  };

  std::map<TargetId, Entry> entries_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_PUBLISHER_H_
