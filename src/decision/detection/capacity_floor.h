#ifndef FLAMINGOYOKE_DECISION_DETECTION_CAPACITY_FLOOR_H_
#define FLAMINGOYOKE_DECISION_DETECTION_CAPACITY_FLOOR_H_

#include <vector>

#include "core/ids.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// One target as the floor sees it.
struct FloorEntry {
  TargetId target;
  double weight = 1;
  TargetState state = TargetState::kHealthy;
  double severity = 0;
  // Share that the state gives, 0 to 1; raised by ApplyFloor().
  double share = 1;
  // Whether ApplyFloor() raised the share.
  bool is_raised_by_floor = false;
};

// Returns the weight in use as a part of the weight of all targets, 0 to 1;
// 1 without weight. Thread-safe.
auto UsedShare(const std::vector<FloorEntry>& entries) -> double;

// Returns targets to use until the share in use is at least `floor` (0 to 1)
// or none is left: the least ill first, in an order that depends only on
// states, severities and ids, so it is the same on every node that knows the
// same. Draining targets never return. Thread-safe.
auto ApplyFloor(std::vector<FloorEntry>& entries, double floor) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_CAPACITY_FLOOR_H_
