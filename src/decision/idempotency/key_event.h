#ifndef FLAMINGOYOKE_DECISION_IDEMPOTENCY_KEY_EVENT_H_
#define FLAMINGOYOKE_DECISION_IDEMPOTENCY_KEY_EVENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "decision/idempotency/idempotency_key.h"

namespace flamingoyoke {

// Complete response, stored to be replayed to a repeated request.
struct StoredResponse {
  int status = 0;
  std::string reason;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// Input events of KeyLedger.

// A request with a key was received completely. `fingerprint` is a hash of its
// content, used to detect that a key is reused for a different request.
struct KeyedRequestReceived {
  RequestId request;
  IdempotencyKey key;
  std::uint64_t fingerprint = 0;
};

// The request got a complete response. `response` is null if it was too large
// to be buffered. It is shared with replays that are still being sent.
struct KeyedRequestAnswered {
  RequestId request;
  std::shared_ptr<const StoredResponse> response;
};

// The request ended without a response; the error tells whether it may have
// been executed.
struct KeyedRequestFailed {
  RequestId request;
  ErrorKind error = ErrorKind::kInternal;
};

using KeyEvent = std::
    variant<KeyedRequestReceived, KeyedRequestAnswered, KeyedRequestFailed>;

// Actions that KeyLedger returns.

// The request is the first one with its key and may be executed.
struct RunKeyedRequest {
  RequestId request;
};

// Answers the request with the stored response of the earlier one.
struct ReplayResponse {
  RequestId request;
  std::shared_ptr<const StoredResponse> response;
};

// Answers the request with an error. `issuer` and `issuer_incarnation` are set
// for kKeyIssuedElsewhere.
struct RejectKeyedRequest {
  RequestId request;
  ErrorKind error = ErrorKind::kInternal;
  VmId issuer;
  Incarnation issuer_incarnation;
};

using KeyAction =
    std::variant<RunKeyedRequest, ReplayResponse, RejectKeyedRequest>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_IDEMPOTENCY_KEY_EVENT_H_
