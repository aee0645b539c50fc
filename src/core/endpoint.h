#ifndef FLAMINGOYOKE_CORE_ENDPOINT_H_
#define FLAMINGOYOKE_CORE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ip_address.h"

namespace flamingoyoke {

// An IP address with a port.
struct Endpoint {
  IpAddress address;
  std::uint16_t port = 0;

  // clang-tidy 14 takes the defaulted operator for a null pointer.
  auto operator<=>(const Endpoint&) const = default;  // NOLINT
};

// An endpoint and the text it was parsed from.
struct NamedEndpoint {
  Endpoint endpoint;
  // The IP address without brackets, as libevent expects it.
  std::string host;
  // "ip:port" as given, the form that ZeroMQ expects.
  std::string text;
};

// Parses "10.0.0.1:8080" or "[::1]:8080". Host names are rejected: they
// would require a lookup for every connection. Port 0 is accepted; callers
// that connect must reject it. Thread-safe.
auto ParseEndpoint(std::string_view text) -> std::optional<NamedEndpoint>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_ENDPOINT_H_
