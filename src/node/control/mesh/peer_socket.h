#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SOCKET_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SOCKET_H_

#include <string>
#include <string_view>
#include <zmq.hpp>

#include "node/control/mesh/mesh_config.h"

namespace flamingoyoke {

// Outgoing connection to one peer: a DEALER that only sends, so that each
// direction between two nodes is a connection of its own. Not thread-safe.
class PeerSocket {
 public:
  // Begins to connect to `endpoint`, an "ip:port". Throws zmq::error_t if the
  // endpoint is malformed.
  PeerSocket(zmq::context_t& context,
             const MeshConfig& config,
             std::string endpoint);

  // Sends `bytes` unless the connection is not up or its queue is full.
  // Returns whether the message was queued; it may still be lost.
  auto Send(std::string_view bytes) -> bool;

  [[nodiscard]] auto endpoint() const -> const std::string& {
    return endpoint_;
  }

 private:
  std::string endpoint_;
  zmq::socket_t socket_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SOCKET_H_
