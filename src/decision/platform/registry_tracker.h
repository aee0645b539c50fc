#ifndef FLAMINGOYOKE_DECISION_PLATFORM_REGISTRY_TRACKER_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_REGISTRY_TRACKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/platform/store_availability.h"
#include "decision/platform/target_report_order.h"
#include "table/registry.h"

namespace flamingoyoke {

// Tracks the targets' entries in the published store for one reader and
// proposes a new registry to the fleet when they change. Heartbeats of targets
// change their entries all the time; only changes of the registration are
// proposed.
//
// Entries of live targets expire while the store is unavailable. A missing
// entry therefore counts as removed only after the store has been available for
// kSettleTime without an outage (StoreAvailability), in which live targets
// register again. Only targets in the current registry are kept this way. A
// reader that was disconnected must not restore targets that others have found
// removed, so it waits kPeerSyncTime for messages from its peers before it
// proposes a registry with missing targets.
//
// A report of a target that was held up on its way to the store may arrive
// after newer ones, by a list or a watch. It changes nothing.
//
// The store may return from an older copy in a later era. What was acknowledged
// before is kept: a target that left or was leaving stays so until it reports
// something newer or its entry is written again, and a target that the copy
// doesn't have stays until it could register again. Not thread-safe.
class RegistryTracker {
 public:
  // Targets register again within about two seconds after the store recovers.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(2300);
  // A peer sends a heartbeat every second and a table within milliseconds.
  static constexpr Duration kPeerSyncTime = std::chrono::milliseconds(1200);

  // The store answered at `now` a read that was requested at `requested_at`.
  // Must be called for each answer, before the entries that it contains are
  // passed on.
  auto OnAnswered(TimePoint requested_at, TimePoint now) -> void;
  // The store returned the complete list of entries in `era`, which is no
  // earlier than that of any list before.
  auto OnListed(const std::vector<RegisteredTarget>& targets,
                StoreEra era,
                TimePoint now) -> void;
  // The store reported a changed or removed entry.
  auto OnChanged(const RegisteredTarget& target, TimePoint now) -> void;
  auto OnRemoved(const TargetId& target, TimePoint now) -> void;
  // Returns whether a newer report of the target is known, so that this one of
  // a watch will be ignored.
  [[nodiscard]] auto IsOutdated(const RegisteredTarget& target,
                                TimePoint now) const -> bool {
    return order_.IsOutdated(target, now);
  }
  // Returns the age of an entry of a list in `era`; only a current one is used.
  [[nodiscard]] auto AgeInList(const RegisteredTarget& target,
                               StoreEra era,
                               TimePoint now) const -> EntryAge {
    return order_.AgeInList(target, era, now);
  }
  // This VM becomes a reader; what it listed in an earlier term is outdated.
  // `known` is what the fleet knows of the store until now.
  auto OnStarted(const StoreContact& known) -> void;
  // This VM is no longer a reader.
  auto OnStopped() -> void;
  // Sets the registry in force in the fleet; null before the first one.
  auto OnCurrentRegistry(std::shared_ptr<const Registry> registry,
                         TimePoint now) -> void;

  // Returns the registry to propose to the fleet if it differs from the current
  // one or belongs to a later era. Returns nothing if the era of the last list
  // or, within an era, `store_revision`, the revision of the store's last
  // answer, is earlier than the one the current registry was built from.
  [[nodiscard]] auto ProposeRegistry(std::uint64_t store_revision,
                                     TimePoint now) -> std::optional<Registry>;

  // What this VM knows of the store's outages.
  [[nodiscard]] auto availability() const -> const StoreAvailability& {
    return availability_;
  }

  // Returns the time until missing entries count as removed if the store stays
  // available; nothing if none is missing. A registry can be proposed then.
  [[nodiscard]] auto TimeUntilSettled(TimePoint now) const
      -> std::optional<Duration>;

  // Maximum number of registries built from one store revision, as entries can
  // expire without a change in the store. A registry's revision is the store
  // revision times this number plus a sequence number.
  static constexpr std::uint64_t kStepsPerRevision = 1024;

 private:
  // Returns whether missing entries count as removed.
  [[nodiscard]] auto IsSettled(TimePoint now) const -> bool;
  [[nodiscard]] auto TargetsInForce() const
      -> std::map<TargetId, RegisteredTarget>;
  // Returns the state of a target whose listed report is outdated; nothing if
  // the target was removed.
  [[nodiscard]] auto NewestState(
      const RegisteredTarget& outdated,
      const std::map<TargetId, RegisteredTarget>& previous) const
      -> std::optional<RegisteredTarget>;
  auto Record(const RegisteredTarget& target, StoreEra era, TimePoint now)
      -> void;
  // Bounds the number of targets that have left and whose order is kept.
  auto PruneOrder(TimePoint now) -> void;
  // Takes over the states of the current registry that are newer than the entry
  // of a list, as another reader may remember more of before a return.
  auto AdoptStates() -> void;
  // Records the targets of `before` that the current registry lacks as removed,
  // and drops those of a list that may be of before the removal.
  auto RecordRemovals(const Registry& before, TimePoint now) -> void;
  // Returns whether missing targets are kept although the current registry
  // lacks them: this VM followed the store up to its return, whereas another
  // reader may know no more than the copy.
  [[nodiscard]] auto KeepsMissing(TimePoint now) const -> bool;
  // Drops missing targets that another reader has already found removed.
  auto DropMissingNotInCurrent() -> void;

  std::map<TargetId, RegisteredTarget> listed_;
  // Entries of the last list that no watch has reported since. They may be of
  // before the target left.
  std::set<TargetId> unconfirmed_;
  // Entries that disappeared before the store was settled.
  std::map<TargetId, RegisteredTarget> missing_;
  TargetReportOrder order_;
  StoreAvailability availability_;
  bool has_listed_ = false;
  // Era of the last list.
  StoreEra era_;
  // When this VM listed after a return up to which it followed the store.
  std::optional<TimePoint> returned_at_;
  std::shared_ptr<const Registry> current_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_REGISTRY_TRACKER_H_
