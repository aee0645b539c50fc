#ifndef FLAMINGOYOKE_DECISION_DETECTION_DETECTION_EVENT_H_
#define FLAMINGOYOKE_DECISION_DETECTION_DETECTION_EVENT_H_

#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/peer/peer_message.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Events of the detector of one service on one node.

// A home member with its failure domain, which the choice of verifiers depends
// on.
struct HomeMember {
  VmId id;
  FailureDomainId failure_domain;
};

struct DetectionConfigured {
  ServiceRow row;
  VmId self;
  std::vector<HomeMember> home;
  std::vector<TargetId> owned;
};

// An attempt was written to the target. `is_new_connection` is set if the
// connection was opened for this attempt.
struct AttemptStarted {
  AttemptId attempt;
  TargetId target;
  bool is_new_connection = false;
};

// An attempt ended. A client error (4xx) counts as AttemptResult::kAnswered.
struct AttemptEnded {
  AttemptId attempt;
  TargetId target;
  AttemptResult result = AttemptResult::kAnswered;
  Duration latency = Duration::zero();
};

struct ProbeEnded {
  TargetId target;
  bool passed = false;
};

// The target, the platform's list or the table reports that the target is
// draining, or that it no longer is.
struct DrainSignalled {
  TargetId target;
  bool draining = true;
};

// A message from another node: a LoadReport, SlotReturn, OutcomeReport,
// EjectionNotice, EjectionPermitRequest, EjectionPermit, VerifyRequest or
// VerifyAnswer. Other types are ignored.
struct DetectionPeerMessage {
  VmId sender;
  PeerMessage message;
};

struct DetectionPeerLost {
  VmId peer;
};

struct DetectionResumed {};

struct DetectionTimer {};

using DetectionEvent = std::variant<DetectionConfigured,
                                    AttemptStarted,
                                    AttemptEnded,
                                    ProbeEnded,
                                    DrainSignalled,
                                    DetectionPeerMessage,
                                    DetectionPeerLost,
                                    DetectionResumed,
                                    DetectionTimer>;

// Actions of the detector.

// Probe the target on a new connection.
struct StartProbe {
  TargetId target;
};

// Close the idle connections to the target, and do not reuse the busy ones
// after their current request.
struct RetireConnections {
  TargetId target;
};

// Use this share of the target's slots, 0 to 1. State and reason are for
// reports.
struct SetTargetShare {
  TargetId target;
  double share = 1;
  TargetState state = TargetState::kHealthy;
  std::string reason;
};

// Deliver a DetectionTimer at `at`. Replaces an earlier timer.
struct WakeDetectorAt {
  TimePoint at;
};

using DetectionAction = std::variant<StartProbe,
                                     RetireConnections,
                                     SetTargetShare,
                                     SendToPeer,
                                     WakeDetectorAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_DETECTION_EVENT_H_
