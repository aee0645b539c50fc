#ifndef FLAMINGOYOKE_DECISION_GATEWAY_POOL_EVENT_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_POOL_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/dispatch/dispatch_event.h"
#include "decision/gateway/load_estimate.h"
#include "decision/gateway/target_ownership.h"
#include "decision/peer/peer_message.h"
#include "table/registry.h"

namespace flamingoyoke {

// Events of PoolDispatcher, which handles one service on one gateway.

// The targets or the set of gateways changed.
struct PoolConfigured {
  std::vector<RegisteredTarget> targets;
  FailureDomainId own_domain;
  // Other gateways, which receive outcome reports.
  std::vector<VmId> peers;
  // Number of gateways that share the targets, including this one. Must be
  // positive.
  std::size_t gateways = 1;
  // Minimum number of retries allowed in 10 s. Unset keeps the current value.
  std::optional<std::uint64_t> min_retries = {};
  // This gateway, and the gateways that own the targets; this one owns all of
  // them if the list is empty.
  VmId self = {};
  std::vector<PoolGateway> owners = {};
};

// A request was received completely and needs a target.
struct PoolRequestArrived {
  RequestId request;
  // Route name, used to tell a route timeout that is too short from a slow
  // target.
  std::string route = {};
  // Empty if the request needs no team's key and has none.
  TeamId team = {};
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  // Priority among the requests of the service; 0 is the most urgent.
  std::uint32_t priority = 0;
  // Maximum number of targets that the request may be sent to.
  std::uint32_t max_attempts = 1;
  // The caller has no use for an answer after this time.
  TimePoint deadline;
  // Latency objective of the route.
  Duration objective = Duration::zero();
  std::uint64_t body_bytes = 0;
};

// The caller disconnected and the request must not run any more.
struct PoolRequestCancelled {
  RequestId request;
};

// The configuration in force no longer allows the request: its key was taken
// away, or its route needs one now. Ends a request that waits; one that runs is
// finished, but gets no further attempt.
struct PoolRequestRevoked {
  RequestId request;
};

// The gateway started to relay the answer of this attempt, so no other attempt
// may answer the request.
struct PoolAttemptCommitted {
  AttemptId attempt;
};

// The head of the attempt's answer says what the target wants.
struct PoolTargetSignalled {
  AttemptId attempt;
  // Whether the target leaves.
  bool leaving = false;
  // How long the target wants no requests; zero if it does not say.
  Duration rest = Duration::zero();
};

struct PoolAttemptEnded {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kAnswered;
  // Whether a different process than the registered one answered.
  bool other_instance = false;
  // Whether the target asked for a rest, which says nothing about its health.
  bool asked_for_rest = false;
  // What the answer said about the target's load; unset if it said nothing.
  std::optional<LoadNews> load = {};
};

// Outcomes reported by another gateway.
struct PoolPeerReport {
  VmId peer;
  std::vector<TargetOutcomes> outcomes;
  RequestCounts requests = {};
  // Number of the report; see ReportOrder.
  std::uint64_t sequence = 0;
};

// A report of another service is about to be sent to the peers, so one of this
// service costs no further message.
struct PoolReportInvited {};

// How long events waited in the loop of the gateway lately. Its processor is
// short while they wait long.
struct PoolLoopDelayed {
  Duration delay = Duration::zero();
};

// The process resumed after a pause.
struct PoolResumed {};

struct PoolTimer {};

using PoolEvent = std::variant<PoolConfigured,
                               PoolRequestArrived,
                               PoolRequestCancelled,
                               PoolRequestRevoked,
                               PoolAttemptCommitted,
                               PoolTargetSignalled,
                               PoolAttemptEnded,
                               PoolPeerReport,
                               PoolReportInvited,
                               PoolLoopDelayed,
                               PoolResumed,
                               PoolTimer>;

// Actions of PoolDispatcher. StartAttempt, CancelAttempt and SendToPeer are
// shared with the dispatcher of the operators' table.

// Send the complete answer of the attempt to the caller. Ends the request.
struct DeliverAnswer {
  RequestId request;
  AttemptId attempt;
};

// What a refusal for want of time was based on, for the log.
struct AdmissionEstimate {
  // Slots that this gateway counts on for the request.
  double slots = 0;
  // Time until one of them is free, and the time that the request runs.
  Duration wait = Duration::zero();
  Duration run_time = Duration::zero();
  // Targets that accept requests now, and those of them that look healthy
  // enough to get one at once.
  std::size_t open_targets = 0;
  std::size_t usable_targets = 0;
  // Time since the last outcome of a request to any target of the service, here
  // or reported; unset if there was none.
  std::optional<Duration> evidence_age = {};
};

// Answer the request with an error. No attempt is running. Ends the request.
struct RefuseRequest {
  RequestId request;
  ErrorKind error = ErrorKind::kInternal;
  // Value for Retry-After; zero omits the header.
  Duration retry_after = Duration::zero();
  // Set if the request could not start in time.
  std::optional<AdmissionEstimate> estimate = {};
};

// Deliver a PoolTimer at `at`. Replaces an earlier WakePoolAt.
struct WakePoolAt {
  TimePoint at;
};

using PoolAction = std::variant<StartAttempt,
                                CancelAttempt,
                                DeliverAnswer,
                                RefuseRequest,
                                SendToPeer,
                                WakePoolAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_POOL_EVENT_H_
