#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_PUBLISHER_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_PUBLISHER_H_

#include <map>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Publishes the states of the targets that this node decides on. Each change
// is sent at once and then repeated, since messages can be lost. Not
// thread-safe.
class EjectionNoticePublisher {
 public:
  static constexpr Duration kRenewalInterval = std::chrono::seconds(1);
  // Delay of the first renewal after a change. The interval then doubles up to
  // kRenewalInterval. With renewals every second only, 4% of the drain signals
  // were unknown after 2 s at 20% message loss.
  static constexpr Duration kFirstRenewalDelay = std::chrono::milliseconds(100);
  // Three renewal intervals. Notices of a lost owner expire after this time;
  // its successor is chosen after 1.5 s.
  static constexpr Duration kNoticeLifetime = std::chrono::seconds(3);
  // Number of times that the return to the healthy state is sent.
  static constexpr int kHealthyRepeatCount = 5;

  // Returns the notice to send now for a target in this state, if one is due.
  // The caller sets the service of the notice.
  auto Update(const TargetId& target,
              TargetState state,
              double severity,
              TimePoint now) -> std::optional<EjectionNotice>;

  // Stops publishing the target. Earlier notices expire at the receivers.
  auto Forget(const TargetId& target) -> void { entries_.erase(target); }

  // Returns whether the target has been published.
  [[nodiscard]] auto Has(const TargetId& target) const -> bool {
    return entries_.contains(target);
  }

  // Returns when the next renewal is due, or TimePoint::max().
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
