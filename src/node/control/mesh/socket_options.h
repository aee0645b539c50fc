#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_

#include <zmq.hpp>

#include "node/control/mesh/mesh_config.h"

namespace flamingoyoke {

// Sets the options that all mesh sockets share: bounded queues, bounded
// messages, no linger, and heartbeats that notice a silent connection.
auto SetCommonOptions(zmq::socket_t& socket) -> void;

// Makes `socket` present the fleet's key pair. `is_server` says which side of
// the CURVE handshake it is on. Does nothing without keys.
auto SetKeys(zmq::socket_t& socket, const MeshConfig& config, bool is_server)
    -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_
