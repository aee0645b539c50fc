#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_

#include <zmq.hpp>

#include "node/control/mesh/mesh_config.h"

namespace flamingoyoke {

// Sets the options common to all mesh sockets: limits on queue length and
// message size, no linger, and heartbeats that detect dead connections.
auto SetCommonOptions(zmq::socket_t& socket) -> void;

// Configures `socket` with the CURVE key pair of the fleet, as the server or
// the client side of the handshake. Does nothing if `config` has no keys.
auto SetKeys(zmq::socket_t& socket, const MeshConfig& config, bool is_server)
    -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_
