#ifndef FLAMINGOYOKE_DECISION_DISPATCH_TARGET_SLOTS_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_TARGET_SLOTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/adaptive_limit.h"
#include "decision/dispatch/attempt.h"
#include "decision/dispatch/long_work_policy.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Slots of the targets of one service that this node owns. A slot in use either
// runs an attempt of this node or is lent to a peer. Not thread-safe.
class TargetSlots {
 public:
  // Replaces the owned targets. Slots in use are kept, even for targets that
  // are no longer owned, so that they still count if ownership returns.
  auto Configure(const ServiceRow& row, const std::vector<TargetId>& owned)
      -> void;

  // Sets the usable share of a target's slots, 0 to 1. If it is above 0, at
  // least one slot is usable, so that a target with a small share still gets
  // trial requests.
  auto SetShare(const TargetId& target, double share) -> void;

  // Returns a target within `range` that has a free slot; by default the one
  // with the lowest utilization relative to its weight, with ties broken at
  // random. `avoided_target` is returned only if no other target has a free
  // slot.
  [[nodiscard]] auto Pick(const TargetId& avoided_target,
                          const PickRange& range,
                          Random& random) const -> std::optional<TargetId>;

  // Acquires or releases a slot. Unknown targets are ignored, because a target
  // may change its owner while it is in use.
  auto Acquire(const TargetId& target, WorkClass work_class) -> void;
  auto Release(const TargetId& target, WorkClass work_class) -> void;

  // Adjusts the concurrency limit of a target after an attempt.
  auto OnResult(const TargetId& target, AttemptResult result, TimePoint now)
      -> void;

  // Returns the number of owned targets with usable slots.
  [[nodiscard]] auto UsableTargets() const -> std::size_t;
  [[nodiscard]] auto Owns(const TargetId& target) const -> bool;
  // Returns the usable slots of all owned targets.
  [[nodiscard]] auto Usable() const -> std::uint32_t;
  // Returns the slots in use or lent, of all targets.
  [[nodiscard]] auto InUse() const -> std::uint32_t;
  [[nodiscard]] auto InUse(WorkClass work_class) const -> std::uint32_t;
  // Returns the usable slots that are neither in use nor lent.
  [[nodiscard]] auto Idle() const -> std::uint32_t;
  // The same per target: slots in use or lent, and usable slots.
  [[nodiscard]] auto InUse(const TargetId& target) const -> std::uint32_t;
  [[nodiscard]] auto Usable(const TargetId& target) const -> std::uint32_t;

 private:
  struct TargetEntry {
    explicit TargetEntry(std::uint32_t slots) : limit(slots) {}

    bool owned = true;
    double weight = 1;
    double share = 1;
    AdaptiveLimit limit;
    std::array<std::uint32_t, kEnumSize<WorkClass>> in_use{};

    [[nodiscard]] auto InUse() const -> std::uint32_t;
    [[nodiscard]] auto Usable() const -> std::uint32_t;
  };

  // Returns the sort key for Pick; the target with the lowest value is chosen.
  [[nodiscard]] static auto PickRank(const TargetEntry& state,
                                     std::size_t index,
                                     PickOrder order) -> double;

  // Ordered, so that decisions don't depend on hash order.
  std::map<TargetId, TargetEntry> targets_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_TARGET_SLOTS_H_
