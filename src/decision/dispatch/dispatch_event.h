#ifndef FLAMINGOYOKE_DECISION_DISPATCH_DISPATCH_EVENT_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_DISPATCH_EVENT_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/peer/peer_message.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Events of the dispatcher of one service on one node.

// The row, the owned targets or the home set changed.
struct DispatchConfigured {
  ServiceRow row;
  VmId self;
  std::vector<VmId> home;
  // Targets of the row that this node owns.
  std::vector<TargetId> owned;
};

// A request was stored whole and waits for a decision.
struct RequestArrived {
  RequestId request;
  TeamId team;
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  TimePoint deadline;
  std::uint64_t body_bytes = 0;
};

// The caller went away.
struct RequestCancelled {
  RequestId request;
};

// The upstream's answer began; other attempts of the request are moot.
struct AttemptResponseStarted {
  AttemptId attempt;
};

struct AttemptFinished {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kAnswered;
  // Load that the upstream reported, 0 to 1; negative if it reported none.
  double reported_load = -1;
};

// The detector changed what may be used of a target; share is 0 to 1.
struct TargetShareChanged {
  TargetId target;
  double share = 1;
};

// One of LoadReport, SlotRequest, SlotLoan, SlotReturn, SlotRecall.
struct DispatchPeerMessage {
  VmId sender;
  PeerMessage message;
};

struct DispatchPeerLost {
  VmId peer;
};

// The process was paused; loans and estimates are no longer believed.
struct DispatchResumed {};

struct DispatchTimer {};

using DispatchEvent = std::variant<DispatchConfigured,
                                   RequestArrived,
                                   RequestCancelled,
                                   AttemptResponseStarted,
                                   AttemptFinished,
                                   TargetShareChanged,
                                   DispatchPeerMessage,
                                   DispatchPeerLost,
                                   DispatchResumed,
                                   DispatchTimer>;

// Actions of the dispatcher.

// Send the request to the target now.
struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  TargetId target;
};

struct CancelAttempt {
  AttemptId attempt;
};

// Answer the request with an error; it has no attempt left.
struct FailRequest {
  RequestId request;
  ErrorKind error = ErrorKind::kInternal;
};

// Deliver a DispatchTimer at `at`; replaces an earlier order.
struct WakeDispatcherAt {
  TimePoint at;
};

using DispatchAction = std::variant<StartAttempt,
                                    CancelAttempt,
                                    FailRequest,
                                    SendToPeer,
                                    WakeDispatcherAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_DISPATCH_EVENT_H_
