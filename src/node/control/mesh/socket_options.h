#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_

#include <zmq.hpp>

#include "node/control/mesh/mesh_config.h"

namespace flamingoyoke {

// Sets the options of the socket that receives from all peers: limits on
// message size and handshake time, no linger, and TCP keepalive. Not
// thread-safe.
auto SetReceiverOptions(zmq::socket_t& socket) -> void;

// Sets the options of a socket that sends to one peer: those of the receiver,
// and limits on queue lengths. Not thread-safe.
auto SetSenderOptions(zmq::socket_t& socket) -> void;

// Configures `socket` with the CURVE key pair of the fleet, as the server or
// the client side of the handshake. Does nothing if `config` has no keys.
auto SetKeys(zmq::socket_t& socket, const MeshConfig& config, bool is_server)
    -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_SOCKET_OPTIONS_H_
