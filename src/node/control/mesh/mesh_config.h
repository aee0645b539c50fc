#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_CONFIG_H_

#include <cstdint>
#include <string>

#include "core/ids.h"

namespace flamingoyoke {

// Settings of the mesh task: identity of this VM, listen address and keys.
struct MeshConfig {
  VmId self;
  Incarnation incarnation;
  // Listen address, "ip:port".
  std::string address;
  // CURVE key pair of the fleet, Z85-encoded; both empty for unencrypted TCP.
  // All nodes of a fleet share the pair, and a node accepts only peers that
  // prove possession of it.
  std::string public_key;
  std::string secret_key;
  // Bound of what is held for connections of peers without keys.
  std::uint64_t receive_memory_bytes = 32ULL << 20;

  [[nodiscard]] auto HasKeys() const -> bool { return !public_key.empty(); }
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_CONFIG_H_
