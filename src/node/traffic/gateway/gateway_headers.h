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

// What a caller says about its request.
struct GatewayCaller {
  std::string request_id;
  std::string host;
  // Time that the caller waits; not set if it does not say so.
  std::optional<Duration> time_left;
};

// Reads the headers of a caller's request. A time that is no number is
// ignored, since the route bounds it anyway. Thread-safe.
auto ReadGatewayCaller(const HeaderNames& names, const HttpHeaders& headers)
    -> GatewayCaller;

// Returns the request as it is passed on, without what each attempt sets.
// Thread-safe.
auto MakeGatewayHead(const HeaderNames& names,
                     const RequestHead& head,
                     std::size_t body_bytes) -> RequestHead;

// Adds what one attempt tells its target. Thread-safe.
auto AddAttemptHeaders(const HeaderNames& names,
                       Duration time_left,
                       const TargetId& target,
                       HttpHeaders& headers) -> void;

// Returns how the targets of a registry are spoken to: an answer counts only
// if it names the request, and a success only with the target's signature.
// Thread-safe.
auto RegisteredUpstreamInterface(const GatewayDialect& dialect)
    -> UpstreamInterface;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_GATEWAY_GATEWAY_HEADERS_H_
