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
#include "decision/peer/peer_message.h"
#include "table/registry.h"

namespace flamingoyoke {

// Events of the pool dispatcher of one service on one gateway.

// The targets or the other gateways changed.
struct PoolConfigured {
  std::vector<RegisteredTarget> targets;
  FailureDomainId own_domain;
  // Other gateways to tell of outcomes.
  std::vector<VmId> peers;
  // Gateways that share the targets, this one included; positive.
  std::size_t gateways = 1;
  // Retries in 10 s that are allowed in any case; unset leaves the bound.
  std::optional<std::uint64_t> retry_least = {};
};

// A request was stored whole and waits for a target.
struct PoolRequestArrived {
  RequestId request;
  // Name of the route, to tell a route's faults from those of targets.
  std::string route = {};
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  // Rank among the requests of the service; 0 goes first.
  std::uint32_t priority = 0;
  // Targets that the request may be sent to.
  std::uint32_t max_attempts = 1;
  // No answer is worth anything after this.
  TimePoint deadline;
  // Time within which an answer has its full value.
  Duration objective = Duration::zero();
  std::uint64_t body_bytes = 0;
};

// The caller went away and the request must not run any more.
struct PoolRequestCancelled {
  RequestId request;
};

// The answer of the attempt is being relayed; no other may follow.
struct PoolAttemptCommitted {
  AttemptId attempt;
};

struct PoolAttemptEnded {
  AttemptId attempt;
  AttemptResult result = AttemptResult::kAnswered;
  // Whether another process than the expected one answered.
  bool other_instance = false;
};

// What another gateway saw.
struct PoolPeerReport {
  VmId peer;
  std::vector<TargetOutcomes> outcomes;
  RequestCounts requests = {};
};

// The process was paused.
struct PoolResumed {};

struct PoolTimer {};

using PoolEvent = std::variant<PoolConfigured,
                               PoolRequestArrived,
                               PoolRequestCancelled,
                               PoolAttemptCommitted,
                               PoolAttemptEnded,
                               PoolPeerReport,
                               PoolResumed,
                               PoolTimer>;

// Actions of the pool dispatcher, beside those that it shares with the
// dispatcher of the table.

// Give the caller the whole answer of the attempt; the request has ended.
struct DeliverAnswer {
  RequestId request;
  AttemptId attempt;
};

// Answer the request with an error; it has no attempt left.
struct RefuseRequest {
  RequestId request;
  ErrorKind error = ErrorKind::kInternal;
  // When the caller may come back; zero says nothing.
  Duration retry_after = Duration::zero();
};

// Deliver a PoolTimer at `at`; replaces an earlier order.
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
