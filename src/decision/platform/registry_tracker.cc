#include "decision/platform/registry_tracker.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

auto RegistryTracker::IsSettled(TimePoint now) const -> bool {
  return available_since_ && now - *available_since_ >= kSettleTime;
}

auto RegistryTracker::OnListed(std::vector<RegisteredTarget> targets,
                               TimePoint now) -> void {
  const auto previous = std::exchange(listed_, {});
  for (auto& target : targets) {
    missing_.erase(target.id);
    auto id = target.id;
    listed_.emplace(std::move(id), std::move(target));
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

auto RegistryTracker::OnChanged(const RegisteredTarget& target, TimePoint now)
    -> void {
  missing_.erase(target.id);
  listed_[target.id] = target;
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
    std::shared_ptr<const Registry> registry) -> void {
  current_ = std::move(registry);
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
  if (current_ && now - *available_since_ < kPeerSyncTime) {
    return std::nullopt;
  }
  DropMissingNotInCurrent();
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
  if (current_->targets == registry.targets ||
      store_revision < used / kStepsPerRevision) {
    return std::nullopt;
  }
  registry.revision = std::max(registry.revision, Revision(used + 1));
  return registry;
}

}  // namespace flamingoyoke
