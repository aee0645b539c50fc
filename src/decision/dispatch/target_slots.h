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

// Slots of the targets that this node owns in one service. A slot is used by
// an attempt of this node or is lent to a peer. Not thread-safe.
class TargetSlots {
 public:
  // Replaces the owned targets. Usage is kept, also of a target that is no
  // longer owned, so that its attempts still count if it is owned again.
  auto Configure(const ServiceRow& row, const std::vector<TargetId>& owned)
      -> void;

  // Share of a target's slots that may be used, 0 to 1. Above 0, at least one
  // slot is usable, so that trial work reaches a target whose share is small.
  auto SetShare(const TargetId& target, double share) -> void;

  // Returns a target of `range` with a free slot; by default the one with the
  // lowest use relative to its weight, with ties broken at random. `avoid` is
  // returned only if no other target has a free slot.
  [[nodiscard]] auto Pick(const TargetId& avoided_target,
                          const PickRange& range,
                          Random& random) const -> std::optional<TargetId>;

  // Takes or frees a slot. Unknown targets are ignored, since a target may
  // lose its owner while it is in use.
  auto Acquire(const TargetId& target, WorkClass work_class) -> void;
  auto Release(const TargetId& target, WorkClass work_class) -> void;

  // Adapts the limit of a target to a finished attempt.
  auto OnResult(const TargetId& target, AttemptResult result, TimePoint now)
      -> void;

  // Number of owned targets that may be used.
  [[nodiscard]] auto UsableTargets() const -> std::size_t;
  [[nodiscard]] auto Owns(const TargetId& target) const -> bool;
  // Slots that may be used now, over all owned targets.
  [[nodiscard]] auto Usable() const -> std::uint32_t;
  // Slots in use or lent.
  [[nodiscard]] auto InUse() const -> std::uint32_t;
  [[nodiscard]] auto InUse(WorkClass work_class) const -> std::uint32_t;
  // Usable slots that are neither in use nor lent.
  [[nodiscard]] auto Idle() const -> std::uint32_t;
  // Slots in use or lent on one target, and its usable slots.
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

  // Smaller is picked first.
  [[nodiscard]] static auto PickRank(const TargetEntry& state,
                                     std::size_t index,
                                     PickOrder order) -> double;

  // Ordered, so that decisions do not depend on the hash function.
  std::map<TargetId, TargetEntry> targets_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_TARGET_SLOTS_H_
