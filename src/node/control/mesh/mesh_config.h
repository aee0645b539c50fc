#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_CONFIG_H_

#include <string>

#include "core/ids.h"

namespace flamingoyoke {

// What the mesh task needs to know of its vm.
struct MeshConfig {
  VmId self;
  Incarnation incarnation;
  // Where to listen, "ip:port".
  std::string address;
  // CURVE key pair of the fleet in Z85 form; both empty for plain TCP. All
  // nodes of a fleet share the pair, and a node accepts only peers that prove
  // to hold it.
  std::string public_key;
  std::string secret_key;

  [[nodiscard]] auto HasKeys() const -> bool { return !public_key.empty(); }
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_MESH_CONFIG_H_
