#ifndef FLAMINGOYOKE_DECISION_DETECTION_CAPACITY_FLOOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_CAPACITY_FLOOR_H_

#include <vector>

#include "core/ids.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// The properties of one target that the capacity floor depends on.
struct FloorEntry {
  TargetId target;
  double weight = 1;
  TargetState state = TargetState::kHealthy;
  double severity = 0;
  // Usable share for the state, 0 to 1. ApplyFloor() may raise it.
  double share = 1;
  // Whether ApplyFloor() raised the share.
  bool is_raised_by_floor = false;
};

// Returns the weight in use divided by the total weight of all targets, 0 to
// 1. Returns 1 if the total weight is 0. Thread-safe.
auto UsedShare(const std::vector<FloorEntry>& entries) -> double;

// Brings targets back into use until the used share is at least `floor` (0 to
// 1) or no target is left. The least severe failures come first. The order
// depends only on states, severities and ids, so nodes with the same
// information choose the same targets. Draining targets are never brought
// back. Thread-safe.
auto ApplyFloor(std::vector<FloorEntry>& entries, double floor) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_CAPACITY_FLOOR_H_
