#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_HEADERS_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_HEADERS_H_

#include <cstddef>
#include <optional>

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"
#include "decision/idempotency/idempotency_key.h"
#include "node/traffic/http_message.h"
#include "node/traffic/trace_context.h"

namespace flamingoyoke {

// What a caller says about its request in the fleet's own headers.
struct CallerHeaders {
  // Time that the caller waits; not set if it does not say.
  std::optional<Duration> deadline;
  std::optional<IdempotencyKey> key;
  TeamId team;
  // The caller's span; not set without a valid `traceparent`.
  std::optional<TraceContext> trace;
};

// Reads the headers. Fails with kInvalidHeader or kKeyMalformed. Thread-safe.
auto ReadCallerHeaders(const HttpHeaders& headers) -> Result<CallerHeaders>;

// Returns the request as it is passed on: without headers that concern only
// the caller's connection or the fleet. `body_bytes` gives the length that the
// upstream is told. Thread-safe.
auto MakeForwardedHead(const RequestHead& head, std::size_t body_bytes)
    -> RequestHead;

// Returns the answer as it is relayed, with the outcome header. Thread-safe.
auto MakeRelayedHead(const ResponseHead& head) -> ResponseHead;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_HEADERS_H_
