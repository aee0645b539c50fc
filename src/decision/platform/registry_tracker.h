#ifndef FLAMINGOYOKE_DECISION_PLATFORM_REGISTRY_TRACKER_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_REGISTRY_TRACKER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "table/registry.h"

namespace flamingoyoke {

// Follows the entries of the targets in the published store for one reader and
// says when the fleet needs a new registry. Heartbeats of targets change
// entries all the time; only changes of meaning are passed on.
//
// While the store is away, entries of live targets lapse. So a missing entry
// counts as gone only after the store has answered without a break for
// kSettleTime, in which live targets register again. Only targets that the
// fleet still uses are held so: a reader that was cut off must not bring back
// what others found gone meanwhile, and so it first hears from its peers for
// kHearPeersTime. Not thread-safe.
class RegistryTracker {
 public:
  // Targets register again within about two seconds after the store's return.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(2300);
  // A peer sends a heartbeat each second and a table within milliseconds.
  static constexpr Duration kHearPeersTime = std::chrono::milliseconds(1200);

  // The store answered with all entries.
  auto OnListed(std::vector<RegisteredTarget> targets, TimePoint now) -> void;
  // The store answered with what changed.
  auto OnChanged(const RegisteredTarget& target, TimePoint now) -> void;
  auto OnRemoved(const TargetId& target, TimePoint now) -> void;
  // The store answered; call after each answer.
  auto OnAnswered(TimePoint now) -> void;
  // A read failed.
  auto OnFailed() -> void;
  // This vm becomes a reader. `store_was_well` says that others read the store
  // without a failure until now, so that nothing has lapsed.
  auto OnStarted(bool store_was_well, TimePoint now) -> void;
  // The registry that the fleet uses; null before the first.
  auto OnInForce(std::shared_ptr<const Registry> registry) -> void;

  // Returns the registry that the fleet should use if it differs from the one
  // in force and `as_of`, the revision of the store's last answer, is not older
  // than what that one was made of.
  [[nodiscard]] auto Proposal(std::uint64_t as_of, TimePoint now)
      -> std::optional<Registry>;

  // Registries that may follow each other without a change in the store, as
  // entries become gone by time alone. The revision of a registry is that of
  // the store times this number, plus its place among them.
  static constexpr std::uint64_t kStepsPerRevision = 1024;

 private:
  // Whether missing entries are gone.
  [[nodiscard]] auto IsSettled(TimePoint now) const -> bool;
  // Another reader may have found out already that a missing target is gone.
  auto DropMissingNotInForce() -> void;

  std::map<TargetId, RegisteredTarget> listed_;
  // Entries that went missing before the store was settled.
  std::map<TargetId, RegisteredTarget> missing_;
  std::optional<TimePoint> answering_since_;
  bool has_listed_ = false;
  std::shared_ptr<const Registry> in_force_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_REGISTRY_TRACKER_H_
