#include "decision/dispatch/long_work_policy.h"

#include <algorithm>
#include <cmath>

#include "core/overloaded.h"

namespace flamingoyoke {
namespace {

// Returns the number of targets reserved for long requests; zero if there is
// only one target.
auto DedicatedTargetCount(const DedicatedTargets& policy,
                          const LongWorkState& state) -> std::size_t {
  if (state.targets < 2) {
    return 0;
  }
  const double wanted =
      std::round(policy.share * static_cast<double>(state.targets));
  return std::clamp<std::size_t>(static_cast<std::size_t>(wanted), 1,
                                 state.targets - 1);
}

// Rounds this node's fractional number of slots so that the sum over the home
// set stays close to the exact value: with 2.5 slots each, half of the members
// get 3 and the others 2.
auto RoundForMember(double slots, const LongWorkState& state) -> double {
  const auto members = static_cast<double>(state.members);
  return std::floor(slots +
                    (static_cast<double>(state.member_index) + 0.5) / members);
}

auto AdaptiveSlotCap(const AdaptiveCap& policy, const LongWorkState& state)
    -> double {
  const auto members =
      static_cast<double>(std::max<std::size_t>(state.members, 1));
  const double total = members * state.usable;
  const double short_demand = members * state.short_demand;
  const double long_demand = members * state.long_demand;
  const double remaining =
      total - short_demand - policy.short_margin * std::sqrt(short_demand);
  return std::max(remaining, policy.long_margin * long_demand) / members;
}

}  // namespace

auto LongSlotCap(const LongWorkPolicy& policy, const LongWorkState& state)
    -> std::uint32_t {
  if (state.usable == 0) {
    return 0;
  }
  const double slots = std::visit(
      Overloaded{
          [&](const FixedCap& cap) { return cap.share * state.usable; },
          [&](const DedicatedTargets& dedicated) {
            const auto count = DedicatedTargetCount(dedicated, state);
            return count == 0 ? dedicated.share * state.usable
                              : static_cast<double>(state.usable);
          },
          [&](const AdaptiveCap& cap) { return AdaptiveSlotCap(cap, state); },
          [&](const AdaptiveCapWithDedicatedTargets& both) {
            return AdaptiveSlotCap(both.cap, state);
          }},
      policy);
  const double bounded_slots = std::min(slots, state.max_share * state.usable);
  const bool shares_targets = !std::holds_alternative<DedicatedTargets>(policy);
  const std::uint32_t max_slots =
      state.usable > 1 && shares_targets ? state.usable - 1 : state.usable;
  return static_cast<std::uint32_t>(
      std::clamp(RoundForMember(bounded_slots, state), 1.0,
                 static_cast<double>(max_slots)));
}

auto CanStartLong(const LongWorkPolicy& policy, const LongWorkState& state)
    -> bool {
  return state.long_in_use < LongSlotCap(policy, state);
}

auto PickRangeFor(const LongWorkPolicy& policy,
                  const LongWorkState& state,
                  WorkClass work_class) -> PickRange {
  if (const auto* dedicated = std::get_if<DedicatedTargets>(&policy)) {
    const auto count = DedicatedTargetCount(*dedicated, state);
    if (count == 0) {
      return {};
    }
    return work_class == WorkClass::kLong ? PickRange{0, count}
                                          : PickRange{count, SIZE_MAX};
  }
  if (std::holds_alternative<AdaptiveCapWithDedicatedTargets>(policy)) {
    return {.order = work_class == WorkClass::kLong ? PickOrder::kFirst
                                                    : PickOrder::kLast};
  }
  return {};
}

}  // namespace flamingoyoke
