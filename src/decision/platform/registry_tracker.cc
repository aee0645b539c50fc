#include "decision/platform/registry_tracker.h"

#include <algorithm>
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
  return available_since_ && now - *available_since_ >= kSettleTime;
}

auto RegistryTracker::OnListed(const std::vector<RegisteredTarget>& targets,
                               TimePoint now) -> void {
  const auto previous = std::exchange(listed_, {});
  for (const auto& target : targets) {
    if (!order_.IsOutdated(target, now)) {
      Record(target, now);
      listed_.emplace(target.id, target);
    } else if (auto newest = NewestState(target, previous)) {
      listed_.emplace(target.id, std::move(*newest));
    }
  }
  for (const auto& [id, target] : listed_) {
    missing_.erase(id);
  }
  for (const auto& [id, target] : previous) {
    if (listed_.count(id) == 0 && !IsSettled(now)) {
      missing_.emplace(id, target);
    }
  }
  if (!std::exchange(has_listed_, true) && current_) {
    for (const auto& target : current_->targets) {
      if (listed_.count(target.id) == 0) {
        missing_.emplace(target.id, target);
      }
    }
  }
  OnAnswered(now);
}

auto RegistryTracker::NewestState(
    const RegisteredTarget& outdated,
    const std::map<TargetId, RegisteredTarget>& previous) const
    -> std::optional<RegisteredTarget> {
  if (const auto found = previous.find(outdated.id); found != previous.end()) {
    return found->second;
  }
  if (has_listed_ || !current_) {
    return std::nullopt;
  }
  const auto found = std::find_if(
      current_->targets.begin(), current_->targets.end(),
      [&](const RegisteredTarget& each) { return each.id == outdated.id; });
  return found == current_->targets.end() ? std::nullopt
                                          : std::optional(*found);
}

auto RegistryTracker::Record(const RegisteredTarget& target, TimePoint now)
    -> void {
  order_.Record(target, now);
  if (order_.size() > kMaxOrderedPerListed * (listed_.size() + 1)) {
    order_.Prune(now);
  }
}

auto RegistryTracker::OnChanged(const RegisteredTarget& target, TimePoint now)
    -> void {
  if (!order_.IsOutdated(target, now)) {
    Record(target, now);
    missing_.erase(target.id);
    listed_[target.id] = target;
  }
  OnAnswered(now);
}

auto RegistryTracker::OnRemoved(const TargetId& target, TimePoint now) -> void {
  const auto found = listed_.find(target);
  if (found != listed_.end()) {
    // A target that announced that it is leaving is expected to disappear.
    if (!IsSettled(now) && !found->second.leaving) {
      missing_.emplace(target, found->second);
    }
    listed_.erase(found);
  }
  OnAnswered(now);
}

auto RegistryTracker::OnAnswered(TimePoint now) -> void {
  if (!available_since_) {
    available_since_ = now;
  }
  if (IsSettled(now)) {
    missing_.clear();
  }
}

auto RegistryTracker::OnStarted(bool store_was_available, TimePoint now)
    -> void {
  available_since_.reset();
  if (store_was_available) {
    available_since_ = now - kSettleTime;
  }
}

auto RegistryTracker::OnFailed() -> void {
  available_since_.reset();
}

auto RegistryTracker::OnCurrentRegistry(
    std::shared_ptr<const Registry> registry,
    TimePoint now) -> void {
  current_ = std::move(registry);
  if (!current_) {
    return;
  }
  for (const auto& target : current_->targets) {
    Record(target, now);
  }
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
  if (!has_listed_ || !available_since_) {
    return std::nullopt;
  }
  DropMissingNotInCurrent();
  if (current_ && !missing_.empty() &&
      now - *available_since_ < kPeerSyncTime) {
    return std::nullopt;
  }
  auto all = listed_;
  all.insert(missing_.begin(), missing_.end());
  Registry registry;
  for (auto& [id, target] : all) {
    registry.targets.push_back(std::move(target));
  }
  registry.revision = Revision(store_revision * kStepsPerRevision);
  if (!current_) {
    return registry;
  }
  const auto used = current_->revision.value();
  if (SameRegistrations(current_->targets, registry.targets) ||
      store_revision < used / kStepsPerRevision) {
    return std::nullopt;
  }
  registry.revision = std::max(registry.revision, Revision(used + 1));
  return registry;
}

}  // namespace flamingoyoke
