#include "decision/quota/quota_scope_tracker.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

#include "decision/quota/quota_timing.h"

namespace flamingoyoke {

auto QuotaScopeTracker::Update(const FleetView& view, TimePoint now)
    -> QuotaScope {
  started_ = started_.value_or(now);
  std::unordered_map<VmId, const Member*> members;
  for (const auto& member : view.members) {
    if (known_.contains(member.id)) {
      members.emplace(member.id, &member);
    }
  }
  for (auto vm = known_.begin(); vm != known_.end();) {
    const auto found = members.find(*vm);
    const auto* member = found == members.end() ? nullptr : found->second;
    const bool is_lost =
        member == nullptr ||
        (member->liveness == Liveness::kDead && !member->leaving);
    if (!is_lost && member->liveness != Liveness::kUnproven) {
      lost_since_.erase(*vm);
    }
    const auto since =
        is_lost ? lost_since_.try_emplace(*vm, now).first->second : now;
    if (now - since >= kLostEntryMemory) {
      lost_since_.erase(*vm);
      vm = known_.erase(vm);
      continue;
    }
    ++vm;
  }
  if (lost_since_.empty()) {
    known_.clear();
    for (const auto& entry : view.entries) {
      known_.insert(entry.vm);
    }
  }
  QuotaScope scope{view.self, std::max<std::size_t>(view.entries.size(), 1), 1,
                   QuotaKeepers(view.entries)};
  for (const auto& entry : view.entries) {
    scope.known_gateways.push_back(entry.vm);
  }
  if (!known_.empty()) {
    scope.share = 1 - static_cast<double>(lost_since_.size()) /
                          static_cast<double>(known_.size());
  }
  scope.has_started_together = HasStartedTogether(view, now);
  return scope;
}

auto QuotaScopeTracker::HasStartedTogether(const FleetView& view,
                                           TimePoint now) const -> bool {
  if (now - *started_ > kStartTime) {
    return false;
  }
  std::unordered_map<VmId, Incarnation> incarnations;
  for (const auto& member : view.members) {
    incarnations.emplace(member.id, member.incarnation);
  }
  const auto own = view.incarnation.value();
  return std::all_of(
      view.entries.begin(), view.entries.end(), [&](const EntryVm& entry) {
        const auto found = incarnations.find(entry.vm);
        if (found == incarnations.end()) {
          return false;
        }
        const auto other = found->second.value();
        const auto apart_ms = own > other ? own - other : other - own;
        return apart_ms <=
               static_cast<std::uint64_t>(ToMilliseconds(kStartedTogetherTime));
      });
}

}  // namespace flamingoyoke
