#ifndef FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_REQUEST_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_REQUEST_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/idempotency/key_event.h"
#include "node/traffic/caller_exchange.h"
#include "node/traffic/http_message.h"
#include "node/traffic/trace_context.h"

namespace flamingoyoke {

// An admitted request, until its response is complete.
struct ServiceRequest {
  RequestId id;
  std::unique_ptr<CallerExchange> exchange;
  // Head to send to the upstream, except the deadline and trace headers.
  RequestHead forwarded;
  TeamId team;
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  // Whether the key ledger must be told the outcome.
  bool keyed = false;
  TimePoint arrived;
  TimePoint deadline;
  TraceContext trace;

  // Set when the first attempt starts.
  std::optional<TimePoint> started;
  // The attempt whose response is relayed to the caller.
  std::optional<AttemptId> responding_attempt;
  // Whether an attempt ended without a complete response after bytes of it were
  // written, so that the upstream may have run it.
  bool may_have_run = false;
  // Copy of the response to a request with an idempotency key; reset when it
  // exceeds the size limit.
  std::optional<StoredResponse> stored_response;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_REQUEST_H_
