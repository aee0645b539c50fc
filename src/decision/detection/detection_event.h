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

// A home member with its failure domain, to choose a verifier.
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

// An attempt was written to the target. `is_new_connection` says whether the
// connection was opened for it.
struct AttemptStarted {
  AttemptId attempt;
  TargetId target;
  bool is_new_connection = false;
};

// An attempt ended. A caller's fault (4xx) is AttemptResult::kAnswered.
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

// The target, the platform's list or the table says that the target leaves.
struct DrainSignalled {
  TargetId target;
  bool draining = true;
};

// One of LoadReport, SlotReturn, OutcomeReport, EjectionNotice,
// EjectionPermitRequest, EjectionPermit, VerifyRequest, VerifyAnswer.
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

// Probe the target on a connection opened for the probe.
struct StartProbe {
  TargetId target;
};

// Close the idle connections to the target and reuse none that is busy.
struct RetireConnections {
  TargetId target;
};

// The share of the target's slots that may be used, 0 to 1, with the state
// and reason for reports.
struct SetTargetShare {
  TargetId target;
  double share = 1;
  TargetState state = TargetState::kHealthy;
  std::string reason;
};

// Deliver a DetectionTimer at `at`; replaces an earlier order.
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
