#ifndef FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_STORE_H_
#define FLAMINGOYOKE_DECISION_DETECTION_EJECTION_NOTICE_STORE_H_

#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// What other members say about a target.
struct NoticedState {
  TargetState state = TargetState::kHealthy;
  double severity = 0;
  VmId sender;
};

// Ejection notices of other members. A member's notice replaces its earlier
// ones by version; among members the worst state that still holds counts, so
// owners that disagree lead to the same result on every node. Not
// thread-safe.
class EjectionNoticeStore {
 public:
  // Bounds the memory of one target.
  static constexpr std::size_t kMaxSenders = 16;
  // Bounds how long one notice can hold without renewal.
  static constexpr Duration kMaxNoticeLifetime = std::chrono::seconds(30);
  // After a pause, what was known holds this long unless it is renewed.
  static constexpr Duration kLifetimeAfterResume = std::chrono::seconds(3);
  // Versions are compared for this long after a notice ran out. A vm that was
  // replaced starts with low versions and is heard after that.
  static constexpr Duration kVersionRetention = std::chrono::seconds(60);
  // Severity of a drain notice whose sender saw the signal itself, unlike an
  // owner that repeats what another node told.
  static constexpr double kDirectDrainSeverity = 1;

  // Takes a notice. Older versions and repetitions of the same version have
  // no effect but that the latter renew it.
  auto OnNotice(const VmId& sender, const EjectionNotice& notice, TimePoint now)
      -> void;

  // Returns the worst state that holds, or nothing if none takes the target
  // out of use.
  [[nodiscard]] auto WorstState(const TargetId& target, TimePoint now) const
      -> std::optional<NoticedState>;

  // Returns whether a member saw a drain signal itself.
  [[nodiscard]] auto HasDirectDrain(const TargetId& target, TimePoint now) const
      -> bool;

  // Returns whether `sender` says that it cannot reach the target.
  [[nodiscard]] auto IsUnreachableFor(const VmId& sender,
                                      const TargetId& target,
                                      TimePoint now) const -> bool;

  // Ends all drain notices about the target, as the drain is over.
  auto ClearDrains(const TargetId& target) -> void;

  // Limits what was known before a pause to kLifetimeAfterResume.
  auto Resume(TimePoint now) -> void;

  // Forgets other targets than these.
  auto Retain(const std::vector<TargetId>& targets) -> void;

  // Returns when the next notice ends, or TimePoint::max().
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
