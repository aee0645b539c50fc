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

// Input events of ServiceDispatcher, which handles one service on one node.

// The service row, the owned targets or the home set changed.
struct DispatchConfigured {
  ServiceRow row;
  VmId self;
  std::vector<VmId> home;
  // Targets of the row that are owned by this node.
  std::vector<TargetId> owned;
};

// A request was received completely and has to be admitted or rejected.
struct RequestArrived {
  RequestId request;
  TeamId team;
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  TimePoint deadline;
  std::uint64_t body_bytes = 0;
};

// The caller closed the connection before the request ended.
struct RequestCancelled {
  RequestId request;
};

// The upstream started to send its response; other attempts of the request are
// cancelled.
struct AttemptResponseStarted {
  AttemptId attempt;
};

struct AttemptFinished {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kAnswered;
  // Load reported by the upstream, 0 to 1; negative if it reported none.
  double reported_load = -1;
  // Whether this VM ended the attempt before anything was sent, as the target
  // is no longer to be used. To send the request elsewhere takes no retry
  // budget.
  bool withdrawn = false;
};

// The failure detector changed the usable share of a target's slots, 0 to 1.
struct TargetShareChanged {
  TargetId target;
  double share = 1;
};

// Carries a LoadReport, SlotRequest, SlotLoan, SlotReturn or SlotRecall; other
// messages are ignored.
struct DispatchPeerMessage {
  VmId sender;
  PeerMessage message;
};

struct DispatchPeerLost {
  VmId peer;
};

// The process was paused. Borrowed slots may have expired meanwhile, so they
// and the load reports of peers are discarded.
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

// Actions that ServiceDispatcher returns.

// Sends the request to the target.
struct StartAttempt {
  RequestId request;
  AttemptId attempt;
  TargetId target;
};

struct CancelAttempt {
  AttemptId attempt;
};

// Ends the request with an error; no further attempt follows.
struct FailRequest {
  RequestId request;
  ErrorKind error = ErrorKind::kInternal;
};

// Delivers a DispatchTimer at `at`; replaces any earlier timer.
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
