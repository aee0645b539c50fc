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

// Values of the reserved request headers and of `traceparent`.
struct CallerHeaders {
  // How long the caller waits for the response; not set without the header.
  std::optional<Duration> deadline;
  std::optional<IdempotencyKey> key;
  TeamId team;
  // The caller's span; not set without a valid `traceparent`.
  std::optional<TraceContext> trace;
};

// Parses the headers. Fails with kInvalidHeader or kKeyMalformed. Thread-safe.
auto ReadCallerHeaders(const HttpHeaders& headers) -> Result<CallerHeaders>;

// Returns the request head to forward to the upstream, without hop-by-hop and
// reserved headers. `body_bytes` sets Content-Length. Thread-safe.
auto MakeForwardedHead(const RequestHead& head, std::size_t body_bytes)
    -> RequestHead;

// Returns the response head to relay to the caller, with the outcome header.
// Thread-safe.
auto MakeRelayedHead(const ResponseHead& head) -> ResponseHead;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_HEADERS_H_
