#ifndef FLAMINGOYOKE_NODE_TRAFFIC_ERROR_RESPONSE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_ERROR_RESPONSE_H_

#include <string>

#include "core/error_kind.h"
#include "core/time.h"
#include "node/traffic/http_message.h"

namespace flamingoyoke {

// Headers of the callers' interface.
inline constexpr auto* kOutcomeHeader = "Flamingoyoke-Outcome";
inline constexpr auto* kErrorHeader = "Flamingoyoke-Error";
inline constexpr auto* kDeadlineHeader = "Flamingoyoke-Deadline-Ms";
inline constexpr auto* kKeyHeader = "Flamingoyoke-Key";
inline constexpr auto* kTeamHeader = "Flamingoyoke-Team";
inline constexpr auto* kTraceHeader = "traceparent";

// Returns the head of the answer for `kind`, with its outcome, error and retry
// headers. Thread-safe.
auto MakeErrorHead(ErrorKind kind) -> ResponseHead;

// When a refused caller may come back; a delay of zero leaves it to the kind of
// the error.
struct RetryAfterHint {
  Duration delay = Duration::zero();
  // Whether callers understand fractions of a second; otherwise whole seconds
  // are sent, rounded up.
  bool fractional = false;
};

// Returns the same with the given hint in place of a retry header of `kind`.
// Thread-safe.
auto MakeErrorHead(ErrorKind kind, const RetryAfterHint& hint) -> ResponseHead;

// Returns the body of the answer for `kind`: one line of JSON. Thread-safe.
auto MakeErrorBody(ErrorKind kind) -> std::string;

// Returns the whole answer for `kind` as sent on the wire, after which the
// connection is closed. For requests that evhttp does not get to see.
// Thread-safe.
auto RenderClosingError(ErrorKind kind) -> std::string;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_ERROR_RESPONSE_H_
