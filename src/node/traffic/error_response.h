#ifndef FLAMINGOYOKE_NODE_TRAFFIC_ERROR_RESPONSE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_ERROR_RESPONSE_H_

#include <string>

#include "core/error_kind.h"
#include "core/time.h"
#include "node/traffic/http_message.h"

namespace flamingoyoke {

// Header names of the caller interface.
inline constexpr auto* kOutcomeHeader = "Flamingoyoke-Outcome";
inline constexpr auto* kErrorHeader = "Flamingoyoke-Error";
inline constexpr auto* kDeadlineHeader = "Flamingoyoke-Deadline-Ms";
inline constexpr auto* kKeyHeader = "Flamingoyoke-Key";
inline constexpr auto* kTeamHeader = "Flamingoyoke-Team";
inline constexpr auto* kTraceHeader = "traceparent";

// Returns the response head for `kind`, with the outcome, error and Retry-After
// headers. Thread-safe.
auto MakeErrorHead(ErrorKind kind) -> ResponseHead;

// When a caller may retry after a refusal. A delay of zero keeps the default of
// the error kind.
struct RetryAfterHint {
  Duration delay = Duration::zero();
  // Whether to send fractions of a second; otherwise the delay is rounded up to
  // whole seconds.
  bool fractional = false;
};

// Returns the response head for `kind`. If it has a Retry-After header, `hint`
// replaces the value. Thread-safe.
auto MakeErrorHead(ErrorKind kind, const RetryAfterHint& hint) -> ResponseHead;

// Returns the response body for `kind`: one line of JSON. Thread-safe.
auto MakeErrorBody(ErrorKind kind) -> std::string;

// Returns the serialized response for `kind` with `Connection: close`. Used for
// requests that are rejected before evhttp parses them. Thread-safe.
auto RenderClosingError(ErrorKind kind) -> std::string;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_ERROR_RESPONSE_H_
