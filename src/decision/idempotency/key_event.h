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

// A whole answer as it is returned again to a repeated request.
struct StoredResponse {
  int status = 0;
  std::string reason;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// Events of the key ledger.

// A request with a key was stored whole. `fingerprint` is a hash of what the
// request asks for; a key names one piece of work only.
struct KeyedRequestReceived {
  RequestId request;
  IdempotencyKey key;
  std::uint64_t fingerprint = 0;
};

// The request was answered whole. `answer` is null if it was too large to be
// collected. Answers are shared with the replies that are being sent.
struct KeyedRequestAnswered {
  RequestId request;
  std::shared_ptr<const StoredResponse> response;
};

// The request ended without an answer; the error says whether it ran.
struct KeyedRequestFailed {
  RequestId request;
  ErrorKind error = ErrorKind::kInternal;
};

using KeyEvent = std::
    variant<KeyedRequestReceived, KeyedRequestAnswered, KeyedRequestFailed>;

// Actions of the key ledger.

// The request is the first with its key and may run.
struct RunKeyedRequest {
  RequestId request;
};

// Answer the request with the kept answer of the earlier one.
struct ReplayResponse {
  RequestId request;
  std::shared_ptr<const StoredResponse> response;
};

// Answer the request with an error. `issuer` is set for kKeyIssuedElsewhere.
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
