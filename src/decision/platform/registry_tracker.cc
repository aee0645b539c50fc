#include "decision/platform/registry_tracker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingoyoke {
namespace {

// The order of targets that have left is kept, too. Above this number for each
// listed target, those without recent reports are dropped.
constexpr std::size_t kMaxOrderedPerListed = 4;

auto SameRegistrations(const std::vector<RegisteredTarget>& a,
                       const std::vector<RegisteredTarget>& b) -> bool {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), IsSameRegistration);
}

}  // namespace

auto RegistryTracker::IsSettled(TimePoint now) const -> bool {
  const auto& since = availability_.since();
  return since && now - *since >= kSettleTime;
}

auto RegistryTracker::TimeUntilSettled(TimePoint now) const
    -> std::optional<Duration> {
  const auto& since = availability_.since();
  if (missing_.empty() || !since) {
    return std::nullopt;
  }
  return std::max(*since + kSettleTime - now, Duration::zero());
}

auto RegistryTracker::OnListed(const std::vector<RegisteredTarget>& targets,
                               StoreEra era,
                               TimePoint now) -> void {
  const bool is_first = !std::exchange(has_listed_, true);
  const auto known_era = is_first ? (current_ ? current_->era : era) : era_;
  if (known_era < era) {
    returned_at_ = !is_first && !availability_.was_interrupted()
                       ? std::optional(now)
                       : std::nullopt;
    // The copy lacks the entries that were written after it was taken.
    availability_.OnEntriesLost(now);
  }
  era_ = era;
  const auto previous =
      is_first ? TargetsInForce() : std::exchange(listed_, {});
  unconfirmed_.clear();
  for (const auto& target : targets) {
    unconfirmed_.insert(target.id);
    if (order_.AgeInList(target, era, now) == EntryAge::kCurrent) {
      Record(target, era, now);
      listed_.emplace(target.id, target);
    } else if (auto newest = NewestState(target, previous)) {
      listed_.emplace(target.id, std::move(*newest));
    }
  }
  for (const auto& [id, target] : listed_) {
    missing_.erase(id);
  }
  for (const auto& [id, target] : previous) {
    if (listed_.count(id) == 0 && !order_.IsRemoved(id) && !IsSettled(now)) {
      missing_.emplace(id, target);
    }
  }
}

auto RegistryTracker::TargetsInForce() const
    -> std::map<TargetId, RegisteredTarget> {
  std::map<TargetId, RegisteredTarget> targets;
  if (current_) {
    for (const auto& target : current_->targets) {
      targets.emplace(target.id, target);
    }
  }
  return targets;
}

auto RegistryTracker::NewestState(
    const RegisteredTarget& outdated,
    const std::map<TargetId, RegisteredTarget>& previous) const
    -> std::optional<RegisteredTarget> {
  if (order_.IsRemoved(outdated.id)) {
    return std::nullopt;
  }
  const auto found = previous.find(outdated.id);
  return found == previous.end() ? std::nullopt : std::optional(found->second);
}

auto RegistryTracker::Record(const RegisteredTarget& target,
                             StoreEra era,
                             TimePoint now) -> void {
  order_.Record(target, era, now);
  PruneOrder(now);
}

auto RegistryTracker::PruneOrder(TimePoint now) -> void {
  const auto known =
      std::max(listed_.size(), current_ ? current_->targets.size() : 0);
  if (order_.size() > kMaxOrderedPerListed * (known + 1)) {
    order_.Prune(now);
  }
}

auto RegistryTracker::OnChanged(const RegisteredTarget& target, TimePoint now)
    -> void {
  if (!order_.IsOutdated(target, now)) {
    Record(target, era_, now);
    missing_.erase(target.id);
    unconfirmed_.erase(target.id);
    listed_[target.id] = target;
  }
}

auto RegistryTracker::OnRemoved(const TargetId& target, TimePoint now) -> void {
  const auto found = listed_.find(target);
  if (found != listed_.end()) {
    // A target that announced that it is leaving is expected to disappear.
    if (!IsSettled(now) && !found->second.leaving) {
      missing_.emplace(target, found->second);
    }
    listed_.erase(found);
    order_.RecordRemoval(target, era_, now);
  }
}

auto RegistryTracker::OnAnswered(TimePoint requested_at, TimePoint now)
    -> void {
  availability_.OnAnswered(requested_at, now);
  if (IsSettled(now)) {
    missing_.clear();
  }
}

auto RegistryTracker::OnStarted(const StoreContact& known) -> void {
  OnStopped();
  availability_.OnStarted(known);
}

auto RegistryTracker::OnStopped() -> void {
  has_listed_ = false;
  listed_.clear();
  unconfirmed_.clear();
  missing_.clear();
  returned_at_.reset();
}

auto RegistryTracker::OnCurrentRegistry(
    std::shared_ptr<const Registry> registry,
    TimePoint now) -> void {
  const auto before = std::exchange(current_, std::move(registry));
  if (!current_) {
    return;
  }
  for (const auto& target : current_->targets) {
    order_.RecordInForce(target, current_->era, now);
  }
  PruneOrder(now);
  if (has_listed_ && current_->era == era_) {
    AdoptStates();
  }
  // A reader that follows the store knows which targets left before a return. A
  // registry of the later era may only be that of the copy.
  if (before && (before->era == current_->era || !has_listed_)) {
    RecordRemovals(*before, now);
  }
}

auto RegistryTracker::AdoptStates() -> void {
  for (const auto& target : current_->targets) {
    const auto found = listed_.find(target.id);
    if (found == listed_.end() || !unconfirmed_.contains(target.id)) {
      continue;
    }
    const auto rank = [](const RegisteredTarget& each) {
      return std::tuple(each.started_ms, each.sequence, each.leaving);
    };
    if (rank(found->second) < rank(target)) {
      found->second = target;
    }
  }
}

auto RegistryTracker::RecordRemovals(const Registry& before, TimePoint now)
    -> void {
  auto next = current_->targets.begin();
  for (const auto& target : before.targets) {
    while (next != current_->targets.end() && next->id < target.id) {
      ++next;
    }
    if (next != current_->targets.end() && next->id == target.id) {
      continue;
    }
    order_.RecordRemoval(target.id, before.era, now);
    if (current_->era == era_ && unconfirmed_.contains(target.id)) {
      listed_.erase(target.id);
    }
  }
}

auto RegistryTracker::KeepsMissing(TimePoint now) const -> bool {
  return returned_at_ && now - *returned_at_ < kSettleTime;
}

auto RegistryTracker::DropMissingNotInCurrent() -> void {
  if (!current_) {
    missing_.clear();
    return;
  }
  std::map<TargetId, RegisteredTarget> kept;
  for (const auto& target : current_->targets) {
    const auto found = missing_.find(target.id);
    if (found != missing_.end()) {
      kept.insert(*found);
    }
  }
  missing_ = std::move(kept);
}

auto RegistryTracker::ProposeRegistry(std::uint64_t store_revision,
                                      TimePoint now)
    -> std::optional<Registry> {
  const auto& since = availability_.since();
  if (!has_listed_ || !since) {
    return std::nullopt;
  }
  if (!KeepsMissing(now)) {
    DropMissingNotInCurrent();
    if (current_ && !missing_.empty() && now - *since < kPeerSyncTime) {
      return std::nullopt;
    }
  }
  auto all = listed_;
  all.insert(missing_.begin(), missing_.end());
  Registry registry;
  for (auto& [id, target] : all) {
    registry.targets.push_back(std::move(target));
  }
  registry.era = era_;
  registry.revision = Revision(store_revision * kStepsPerRevision);
  if (!current_ || current_->era < era_) {
    return registry;
  }
  const auto used = current_->revision.value();
  if (era_ < current_->era || store_revision < used / kStepsPerRevision ||
      SameRegistrations(current_->targets, registry.targets)) {
    return std::nullopt;
  }
  registry.revision = std::max(registry.revision, Revision(used + 1));
  return registry;
}

}  // namespace flamingoyoke
