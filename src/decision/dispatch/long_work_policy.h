#ifndef FLAMINGOYOKE_DECISION_DISPATCH_LONG_WORK_POLICY_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_LONG_WORK_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "decision/dispatch/attempt.h"

namespace flamingoyoke {

// Long requests use at most a fixed share of the slots.
struct FixedCap {
  double share = 0.5;
};

// Reserves a share of the targets for long requests; short requests use the
// others.
struct DedicatedTargets {
  double share = 0.5;
};

// Adapts the cap on long requests to the demand of both work classes.
struct AdaptiveCap {
  // Slots reserved for short requests beyond their mean demand, in standard
  // deviations of that demand over the home set.
  double short_margin = 1.0;
  // Minimum number of slots for long requests, relative to their mean demand.
  double long_margin = 1.05;
};

// Like AdaptiveCap; in addition, long requests fill the targets in ascending
// and short requests in descending order, so that they rarely share a target.
struct AdaptiveCapWithDedicatedTargets {
  AdaptiveCap cap;
};

// Policy that keeps long requests from blocking short ones.
using LongWorkPolicy = std::variant<FixedCap,
                                    DedicatedTargets,
                                    AdaptiveCap,
                                    AdaptiveCapWithDedicatedTargets>;

// Input of a policy: the owned slots of this node and their demand.
struct LongWorkState {
  std::uint32_t usable = 0;
  std::uint32_t idle = 0;
  std::uint32_t long_in_use = 0;
  std::size_t targets = 0;
  // Mean demand at this node, in slots.
  double short_demand = 0;
  double long_demand = 0;
  // Size of the home set and the index of this node in it. The members share
  // the demand, so the cap is computed for the whole set and divided among
  // them.
  std::size_t members = 1;
  std::size_t member_index = 0;
  // Upper bound on the share of slots for long requests, from the operators'
  // table, 0 to 1.
  double max_share = 1;
};

// Order in which targets with a free slot are chosen.
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

// Returns how many owned slots long requests may occupy. At least one if any
// slot is usable; if there are several, at least one is left for short requests
// unless targets are dedicated. Thread-safe.
auto LongSlotCap(const LongWorkPolicy& policy, const LongWorkState& state)
    -> std::uint32_t;

// Returns whether long requests may occupy one more slot. Thread-safe.
auto CanStartLong(const LongWorkPolicy& policy, const LongWorkState& state)
    -> bool;

// Returns which targets requests of `work_class` may use. Thread-safe.
auto PickRangeFor(const LongWorkPolicy& policy,
                  const LongWorkState& state,
                  WorkClass work_class) -> PickRange;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_LONG_WORK_POLICY_H_
