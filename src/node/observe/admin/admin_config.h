#ifndef FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_CONFIG_H_
#define FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_CONFIG_H_

#include <cstdint>
#include <string>

namespace flamingoyoke {

// Address of the HTTP server for operators. It must not be reachable by
// callers.
struct AdminConfig {
  std::string host;
  std::uint16_t port = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_OBSERVE_ADMIN_ADMIN_CONFIG_H_
