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

// A request that was admitted to a service, until it is answered.
struct ServiceRequest {
  RequestId id;
  std::unique_ptr<CallerExchange> exchange;
  // What is sent to the upstream, without deadline and trace.
  RequestHead forwarded;
  TeamId team;
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  // Whether the key ledger waits for the outcome.
  bool keyed = false;
  TimePoint arrived;
  TimePoint deadline;
  TraceContext trace;

  // Set when the first attempt starts.
  std::optional<TimePoint> started;
  // The attempt whose answer is relayed.
  std::optional<AttemptId> responding_attempt;
  // Whether an attempt that was written ended without a whole answer.
  bool may_have_run = false;
  // Copy of the answer to keyed work; not set once it is too large to keep.
  std::optional<StoredResponse> stored_response;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_SERVICE_REQUEST_H_
