#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_STORE_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_STORE_H_

#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// The state of a target according to the notice of another member.
struct NoticedState {
  TargetState state = TargetState::kHealthy;
  double severity = 0;
  VmId sender;
};

// Ejection notices of other members. For each member only the notice with the
// highest version counts. Of the valid notices of different members the worst
// state applies, so conflicting owners have the same effect on every node. Not
// thread-safe.
class EjectionNoticeStore {
 public:
  // Limits the memory per target.
  static constexpr std::size_t kMaxSenders = 16;
  // Limits how long a notice is valid without renewal.
  static constexpr Duration kMaxNoticeLifetime = std::chrono::seconds(30);
  // Validity of existing notices after a pause of the process, unless renewed.
  static constexpr Duration kLifetimeAfterResume = std::chrono::seconds(3);
  // Versions are compared for this long after a notice expired. A VM that was
  // replaced starts with lower versions; its notices are accepted after this
  // time.
  static constexpr Duration kVersionRetention = std::chrono::seconds(60);
  // Severity of a drain notice whose sender received the drain signal itself.
  // Owners that only repeat the drain of another node send a lower severity.
  static constexpr double kDirectDrainSeverity = 1;

  // Records a notice. Older versions have no effect; an equal version only
  // renews the notice.
  auto OnNotice(const VmId& sender, const EjectionNotice& notice, TimePoint now)
      -> void;

  // Returns the worst state among the valid notices, or nothing if none
  // restricts the use of the target.
  [[nodiscard]] auto WorstState(const TargetId& target, TimePoint now) const
      -> std::optional<NoticedState>;

  // Returns whether a member received a drain signal of the target itself.
  [[nodiscard]] auto HasDirectDrain(const TargetId& target, TimePoint now) const
      -> bool;

  // Returns whether `sender` reported that it cannot reach the target.
  [[nodiscard]] auto IsUnreachableFor(const VmId& sender,
                                      const TargetId& target,
                                      TimePoint now) const -> bool;

  // Ends all drain notices for the target, because the drain is over.
  auto ClearDrains(const TargetId& target) -> void;

  // Limits the validity of all notices to kLifetimeAfterResume from `now`.
  auto Resume(TimePoint now) -> void;

  // Removes the notices of all targets except `targets`.
  auto Retain(const std::vector<TargetId>& targets) -> void;

  // Returns when the next notice expires, or TimePoint::max().
  [[nodiscard]] auto NextExpiry(TimePoint now) const -> TimePoint;

 private:
  struct Record {
    TargetState state = TargetState::kHealthy;
    std::uint64_t version = 0;
    double severity = 0;
    TimePoint expires;
  };
  using Senders = std::map<VmId, Record>;

  std::map<TargetId, Senders> records_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_STORE_H_
