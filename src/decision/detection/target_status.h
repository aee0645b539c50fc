#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATUS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATUS_H_

#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// The state of one target as known to this node, and the share that it uses.
struct TargetStatus {
  TargetId target;
  TargetState state = TargetState::kHealthy;
  std::string reason;
  // Time of the last change of state or reason.
  TimePoint since;
  // Share of the target's slots that this node may use, 0 to 1. It is higher
  // than the state allows if the capacity floor brought the target back.
  double share = 1;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATUS_H_
