#include "decision/dispatch/target_slots.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingoyoke {

auto TargetSlots::TargetEntry::InUse() const -> std::uint32_t {
  std::uint32_t total = 0;
  for (const auto count : in_use) {
    total += count;
  }
  return total;
}

auto TargetSlots::TargetEntry::Usable() const -> std::uint32_t {
  if (!owned || share <= 0) {
    return 0;
  }
  const auto usable = std::floor(limit.Current() * std::min(share, 1.0));
  return std::max(1U, static_cast<std::uint32_t>(usable));
}

auto TargetSlots::Configure(const ServiceRow& row,
                            const std::vector<TargetId>& owned) -> void {
  std::map<TargetId, TargetEntry> configured;
  for (auto& [target, state] : targets_) {
    if (state.InUse() > 0) {
      state.owned = false;
      configured.emplace(target, state);
    }
  }
  for (const auto& spec : row.targets) {
    if (std::find(owned.begin(), owned.end(), spec.id) == owned.end()) {
      continue;
    }
    const auto known = targets_.find(spec.id);
    auto state =
        known == targets_.end() ? TargetEntry(row.slots) : known->second;
    state.owned = true;
    state.limit.SetSlots(row.slots);
    state.weight = spec.weight > 0 ? spec.weight : 1;
    configured.insert_or_assign(spec.id, state);
  }
  targets_ = std::move(configured);
}

auto TargetSlots::SetShare(const TargetId& target, double share) -> void {
  const auto entry = targets_.find(target);
  if (entry != targets_.end()) {
    entry->second.share = share;
  }
}

auto TargetSlots::PickRank(const TargetEntry& state,
                           std::size_t index,
                           PickOrder order) -> double {
  switch (order) {
    case PickOrder::kFirst:
      return static_cast<double>(index);
    case PickOrder::kLast:
      return -static_cast<double>(index);
    case PickOrder::kLeastLoaded:
      break;
  }
  return (state.InUse() + 1) / (state.weight * state.Usable());
}

auto TargetSlots::Pick(const TargetId& avoided_target,
                       const PickRange& range,
                       Random& random) const -> std::optional<TargetId> {
  std::optional<TargetId> best;
  double best_rank = 0;
  std::uint64_t ties = 0;
  std::size_t index = 0;
  bool avoided_has_free_slot = false;
  for (const auto& [target, state] : targets_) {
    const auto usable = state.Usable();
    index += usable > 0 ? 1 : 0;
    if (state.InUse() >= usable || index <= range.begin || index > range.end) {
      continue;
    }
    if (target == avoided_target) {
      avoided_has_free_slot = true;
      continue;
    }
    const double rank = PickRank(state, index, range.order);
    if (best && rank > best_rank) {
      continue;
    }
    ties = best && rank == best_rank ? ties + 1 : 1;
    if (ties == 1 || random.Below(ties) == 0) {
      best = target;
      best_rank = rank;
    }
  }
  return !best && avoided_has_free_slot ? std::optional(avoided_target) : best;
}

auto TargetSlots::Acquire(const TargetId& target, WorkClass work_class)
    -> void {
  const auto entry = targets_.find(target);
  if (entry != targets_.end()) {
    ++entry->second.in_use[static_cast<std::size_t>(work_class)];
  }
}

auto TargetSlots::Release(const TargetId& target, WorkClass work_class)
    -> void {
  const auto entry = targets_.find(target);
  if (entry == targets_.end()) {
    return;
  }
  auto& count = entry->second.in_use[static_cast<std::size_t>(work_class)];
  count -= count > 0 ? 1 : 0;
  if (!entry->second.owned && entry->second.InUse() == 0) {
    targets_.erase(entry);
  }
}

auto TargetSlots::OnResult(const TargetId& target,
                           AttemptResult result,
                           TimePoint now) -> void {
  const auto entry = targets_.find(target);
  if (entry == targets_.end()) {
    return;
  }
  if (result == AttemptResult::kShed) {
    entry->second.limit.OnShed(now);
  } else if (result == AttemptResult::kAnswered) {
    entry->second.limit.OnAnswer();
  }
}

auto TargetSlots::UsableTargets() const -> std::size_t {
  std::size_t count = 0;
  for (const auto& [target, state] : targets_) {
    count += state.Usable() > 0 ? 1 : 0;
  }
  return count;
}

auto TargetSlots::Owns(const TargetId& target) const -> bool {
  const auto entry = targets_.find(target);
  return entry != targets_.end() && entry->second.owned;
}

auto TargetSlots::Usable() const -> std::uint32_t {
  std::uint32_t usable = 0;
  for (const auto& [target, state] : targets_) {
    usable += state.Usable();
  }
  return usable;
}

auto TargetSlots::InUse() const -> std::uint32_t {
  return InUse(WorkClass::kShort) + InUse(WorkClass::kLong);
}

auto TargetSlots::InUse(WorkClass work_class) const -> std::uint32_t {
  std::uint32_t count = 0;
  for (const auto& [target, state] : targets_) {
    count += state.in_use[static_cast<std::size_t>(work_class)];
  }
  return count;
}

auto TargetSlots::Idle() const -> std::uint32_t {
  std::uint32_t idle = 0;
  for (const auto& [target, state] : targets_) {
    idle += state.Usable() - std::min(state.Usable(), state.InUse());
  }
  return idle;
}

auto TargetSlots::InUse(const TargetId& target) const -> std::uint32_t {
  const auto entry = targets_.find(target);
  return entry == targets_.end() ? 0 : entry->second.InUse();
}

auto TargetSlots::Usable(const TargetId& target) const -> std::uint32_t {
  const auto entry = targets_.find(target);
  return entry == targets_.end() ? 0 : entry->second.Usable();
}

}  // namespace flamingoyoke
