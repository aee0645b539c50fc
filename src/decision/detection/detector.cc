#include "decision/detection/detector.h"

#include <algorithm>
#include <utility>

#include "core/overloaded.h"

namespace flamingoyoke {

Detector::Detector(Random random) : random_(random) {}

auto Detector::OnEvent(const DetectionEvent& event, TimePoint now)
    -> std::vector<DetectionAction> {
  actions_.clear();
  std::visit(
      Overloaded{
          [&](const DetectionConfigured& configured) {
            Apply(configured, now);
          },
          [&](const DrainSignalled& drain) { Apply(drain, now); },
          [&](const DetectionPeerMessage& message) { Apply(message, now); },
          [](const auto&) {},
      },
      event);
  return std::exchange(actions_, {});
}

auto Detector::Statuses() const -> std::vector<TargetStatus> {
  std::vector<TargetStatus> statuses;
  if (!configuration_) {
    return statuses;
  }
  for (const auto& target : configuration_->row.targets) {
    statuses.push_back(statuses_.at(target.id));
  }
  return statuses;
}

auto Detector::HealthyShare() const -> double {
  double healthy = 0;
  double total = 0;
  if (configuration_) {
    for (const auto& target : configuration_->row.targets) {
      total += target.weight;
      if (statuses_.at(target.id).state == TargetState::kHealthy) {
        healthy += target.weight;
      }
    }
  }
  return total > 0 ? healthy / total : 1;
}

auto Detector::OwnedTargets() const -> std::vector<TargetId> {
  return configuration_ ? configuration_->owned : std::vector<TargetId>();
}

auto Detector::Apply(const DetectionConfigured& event, TimePoint now) -> void {
  configuration_ = event;
  for (const auto& target : event.row.targets) {
    if (!statuses_.contains(target.id)) {
      SetState(target.id, TargetState::kHealthy, "", now);
    }
  }
  std::erase_if(statuses_, [&](const auto& entry) {
    return std::none_of(
        event.row.targets.begin(), event.row.targets.end(),
        [&](const auto& target) { return target.id == entry.first; });
  });
}

auto Detector::Apply(const DrainSignalled& event, TimePoint now) -> void {
  if (!statuses_.contains(event.target)) {
    return;
  }
  const auto state =
      event.draining ? TargetState::kDraining : TargetState::kHealthy;
  SetState(event.target, state, "drain signal", now);
  for (const auto& member : configuration_->home) {
    if (member.id == configuration_->self) {
      continue;
    }
    actions_.emplace_back(SendToPeer{
        member.id, EjectionNotice{.service = configuration_->row.service,
                                  .target = event.target,
                                  .state = state}});
  }
}

auto Detector::Apply(const DetectionPeerMessage& event, TimePoint now) -> void {
  const auto* notice = std::get_if<EjectionNotice>(&event.message);
  if (notice == nullptr || !statuses_.contains(notice->target)) {
    return;
  }
  SetState(notice->target, notice->state, "notice", now);
}

auto Detector::SetState(const TargetId& target,
                        TargetState state,
                        const std::string& reason,
                        TimePoint now) -> void {
  const double share =
      state == TargetState::kHealthy || state == TargetState::kRamping ? 1 : 0;
  statuses_[target] = TargetStatus{target, state, reason, now, share};
  actions_.emplace_back(SetTargetShare{target, share, state, reason});
}

}  // namespace flamingoyoke
