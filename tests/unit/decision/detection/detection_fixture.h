#ifndef FLAMINGOYOKE_UNIT_DECISION_DETECTION_DETECTION_FIXTURE_H_
#define FLAMINGOYOKE_UNIT_DECISION_DETECTION_DETECTION_FIXTURE_H_

#include <string>
#include <vector>

#include "decision/detection/detector.h"

namespace flamingoyoke {

inline constexpr std::size_t kFixtureTargets = 8;
inline constexpr std::size_t kFixtureNodes = 4;

inline auto FixtureTarget(std::size_t index) -> TargetId {
  return TargetId("10.0.0." + std::to_string(index + 1) + ":80");
}

inline auto FixtureVm(std::size_t index) -> VmId {
  return VmId("vm-" + std::to_string(index));
}

// Returns the configuration of one of four home members. Each member is in its
// own failure domain, and the targets are assigned to the members in turn.
inline auto FixtureConfiguration(std::size_t node) -> DetectionConfigured {
  DetectionConfigured event;
  event.row.service = ServiceId("stock");
  event.row.slots = 2;
  event.row.floor = 0.5;
  for (std::size_t i = 0; i < kFixtureTargets; ++i) {
    TargetSpec target;
    target.id = FixtureTarget(i);
    event.row.targets.push_back(target);
    if (i % kFixtureNodes == node) {
      event.owned.push_back(target.id);
    }
  }
  event.self = FixtureVm(node);
  for (std::size_t i = 0; i < kFixtureNodes; ++i) {
    event.home.push_back({FixtureVm(i), FailureDomainId(std::to_string(i))});
  }
  return event;
}

// Returns the actions of type `Action` in `actions`.
template <typename Action>
auto ActionsOf(const std::vector<DetectionAction>& actions)
    -> std::vector<Action> {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* specific = std::get_if<Action>(&action)) {
      found.push_back(*specific);
    }
  }
  return found;
}

// Returns the messages of type `Message` that `actions` contain.
template <typename Message>
auto SentOf(const std::vector<DetectionAction>& actions)
    -> std::vector<Message> {
  std::vector<Message> found;
  for (const auto& send : ActionsOf<SendToPeer>(actions)) {
    if (const auto* specific = std::get_if<Message>(&send.message)) {
      found.push_back(*specific);
    }
  }
  return found;
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_UNIT_DECISION_DETECTION_DETECTION_FIXTURE_H_
