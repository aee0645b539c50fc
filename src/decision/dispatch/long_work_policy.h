#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LONG_WORK_POLICY_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LONG_WORK_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "decision/dispatch/attempt.h"

namespace flamingoyoke {

// Long work holds at most a fixed share of the slots.
struct FixedCap {
  double share = 0.5;
};

// Long work runs on some of the targets only, short work on the others.
struct DedicatedTargets {
  double share = 0.5;
};

// The cap on long work follows the demand of both classes.
struct AdaptiveCap {
  // Slots kept for short work beyond its mean demand, in standard deviations
  // of that demand over the home set.
  double short_margin = 1.0;
  // Least slots for long work, relative to its mean demand.
  double long_margin = 1.05;
};

// As AdaptiveCap; long work also fills the targets from one end and short
// work from the other, so that they rarely share a target.
struct AdaptiveCapWithDedicatedTargets {
  AdaptiveCap cap;
};

// How long work is kept from blocking short work.
using LongWorkPolicy = std::variant<FixedCap,
                                    DedicatedTargets,
                                    AdaptiveCap,
                                    AdaptiveCapWithDedicatedTargets>;

// What a policy knows about the owned slots of this node.
struct LongWorkState {
  std::uint32_t usable = 0;
  std::uint32_t idle = 0;
  std::uint32_t long_in_use = 0;
  std::size_t targets = 0;
  // Mean demand at this node, in slots.
  double short_demand = 0;
  double long_demand = 0;
  // Members of the home set and the place of this node among them. They share
  // the demand, so the cap is sized for all and divided.
  std::size_t members = 1;
  std::size_t member_index = 0;
  // Upper bound of the operators' table, 0 to 1.
  double max_share = 1;
};

// Which targets are tried, by their order, and in which order.
enum class PickOrder { kLeastLoaded, kFirst, kLast };

template <>
struct EnumNames<PickOrder> {
  static constexpr auto kTable = std::to_array<NameEntry<PickOrder>>({
      {PickOrder::kLeastLoaded, "least-loaded"},
      {PickOrder::kFirst, "first"},
      {PickOrder::kLast, "last"},
  });
};
static_assert(IsDense<PickOrder>());

struct PickRange {
  std::size_t begin = 0;
  std::size_t end = SIZE_MAX;
  PickOrder order = PickOrder::kLeastLoaded;
};

// Returns how many owned slots long work may hold; at least one if any slot
// is usable, and one less than all if there are several. Thread-safe.
auto LongSlotCap(const LongWorkPolicy& policy, const LongWorkState& state)
    -> std::uint32_t;

// Returns whether long work may take one more slot. Thread-safe.
auto CanStartLong(const LongWorkPolicy& policy, const LongWorkState& state)
    -> bool;

// Returns which targets work of `work_class` may use. Thread-safe.
auto PickRangeFor(const LongWorkPolicy& policy,
                  const LongWorkState& state,
                  WorkClass work_class) -> PickRange;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LONG_WORK_POLICY_H_
