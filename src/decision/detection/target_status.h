#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATUS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATUS_H_

#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// What this node believes about one target and how much of it it uses.
struct TargetStatus {
  TargetId target;
  TargetState state = TargetState::kHealthy;
  std::string reason;
  // Time of the last change of state or reason.
  TimePoint since;
  // Share of the target's slots in use here, 0 to 1. Above what the state
  // gives when the floor brought the target back.
  double share = 1;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATUS_H_
