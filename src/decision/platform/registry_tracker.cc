#include "decision/platform/registry_tracker.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

auto RegistryTracker::IsSettled(TimePoint now) const -> bool {
  return answering_since_ && now - *answering_since_ >= kSettleTime;
}

auto RegistryTracker::OnListed(std::vector<RegisteredTarget> targets,
                               TimePoint now) -> void {
  const auto before = std::exchange(listed_, {});
  for (auto& target : targets) {
    missing_.erase(target.id);
    auto id = target.id;
    listed_.emplace(std::move(id), std::move(target));
  }
  for (const auto& [id, target] : before) {
    if (listed_.count(id) == 0 && !IsSettled(now)) {
      missing_.emplace(id, target);
    }
  }
  if (!std::exchange(has_listed_, true) && in_force_) {
    for (const auto& target : in_force_->targets) {
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
    // A target that announced its leaving is expected to go.
    if (!IsSettled(now) && !found->second.leaving) {
      missing_.emplace(target, found->second);
    }
    listed_.erase(found);
  }
  OnAnswered(now);
}

auto RegistryTracker::OnAnswered(TimePoint now) -> void {
  if (!answering_since_) {
    answering_since_ = now;
  }
  if (IsSettled(now)) {
    missing_.clear();
  }
}

auto RegistryTracker::OnStarted(bool store_was_well, TimePoint now) -> void {
  answering_since_.reset();
  if (store_was_well) {
    answering_since_ = now - kSettleTime;
  }
}

auto RegistryTracker::OnFailed() -> void {
  answering_since_.reset();
}

auto RegistryTracker::OnInForce(std::shared_ptr<const Registry> registry)
    -> void {
  in_force_ = std::move(registry);
}

auto RegistryTracker::DropMissingNotInForce() -> void {
  if (!in_force_) {
    missing_.clear();
    return;
  }
  std::map<TargetId, RegisteredTarget> still_missing;
  for (const auto& target : in_force_->targets) {
    const auto found = missing_.find(target.id);
    if (found != missing_.end()) {
      still_missing.insert(*found);
    }
  }
  missing_ = std::move(still_missing);
}

auto RegistryTracker::Proposal(std::uint64_t as_of, TimePoint now)
    -> std::optional<Registry> {
  if (!has_listed_ || !answering_since_) {
    return std::nullopt;
  }
  if (in_force_ && now - *answering_since_ < kHearPeersTime) {
    return std::nullopt;
  }
  DropMissingNotInForce();
  auto all = listed_;
  all.insert(missing_.begin(), missing_.end());
  Registry registry;
  for (auto& [id, target] : all) {
    registry.targets.push_back(std::move(target));
  }
  registry.revision = Revision(as_of * kStepsPerRevision);
  if (!in_force_) {
    return registry;
  }
  const auto used = in_force_->revision.value();
  if (in_force_->targets == registry.targets ||
      as_of < used / kStepsPerRevision) {
    return std::nullopt;
  }
  registry.revision = std::max(registry.revision, Revision(used + 1));
  return registry;
}

}  // namespace flamingoyoke
