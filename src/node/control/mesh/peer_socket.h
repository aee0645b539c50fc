#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SOCKET_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_PEER_SOCKET_H_

#include <string>
#include <string_view>
#include <zmq.hpp>

#include "node/control/mesh/mesh_config.h"

namespace flamingoyoke {

// Outgoing connection to one peer. Its DEALER socket only sends; each direction
// between two nodes uses a separate connection. Not thread-safe.
class PeerSocket {
 public:
  // Starts connecting to `endpoint`, an "ip:port". Throws zmq::error_t if the
  // endpoint is malformed.
  PeerSocket(zmq::context_t& context,
             const MeshConfig& config,
             std::string endpoint);

  // Queues `bytes` without blocking. Returns false if the peer is not connected
  // or the queue is full. A queued message may still be lost.
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
