#ifndef FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_HEADERS_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_HEADERS_H_

#include <cstddef>
#include <optional>
#include <string>

#include "core/ids.h"
#include "core/time.h"
#include "node/dialect.h"
#include "node/traffic/http_message.h"
#include "node/traffic/upstream_connection.h"

namespace flamingoyoke {

// Request metadata from the caller's headers.
struct GatewayCaller {
  std::string request_id;
  std::string host;
  // Time until the caller gives up; unset if the caller does not send it.
  std::optional<Duration> time_left;
};

// Parses the headers of a caller's request. An invalid time is ignored, since
// the route's timeout applies anyway. Thread-safe.
auto ReadGatewayCaller(const HeaderNames& names, const HttpHeaders& headers)
    -> GatewayCaller;

// Returns the request head to forward, without the headers that differ for each
// attempt. Thread-safe.
auto MakeGatewayHead(const HeaderNames& names,
                     const RequestHead& head,
                     std::size_t body_bytes) -> RequestHead;

// Adds the headers of one attempt. Thread-safe.
auto AddAttemptHeaders(const HeaderNames& names,
                       Duration time_left,
                       const TargetId& target,
                       HttpHeaders& headers) -> void;

// Returns the protocol of registered targets: an answer is accepted only if it
// repeats the request ID, and a successful one only with the target's
// signature. Thread-safe.
auto RegisteredUpstreamInterface(const GatewayDialect& dialect)
    -> UpstreamInterface;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_HEADERS_H_
