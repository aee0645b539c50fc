#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_ROUTER_RECEIVER_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_ROUTER_RECEIVER_H_

#include <functional>
#include <string_view>
#include <zmq.hpp>

#include "core/result.h"
#include "node/control/mesh/mesh_config.h"
#include "node/control/mesh/peer_listener.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Receives the messages of all peers by a ROUTER socket, for fleets with keys:
// strangers don't get past the handshake of libzmq. Not thread-safe.
class RouterReceiver {
 public:
  struct Callbacks {
    std::function<void(std::string_view bytes)> on_message;
    // The socket failed; nothing is received any more.
    std::function<void(Error error)> on_error;
  };

  RouterReceiver(EventLoop& loop, Callbacks callbacks);

  // Accepts connections of `listener`, which listens on the address of
  // `config`. Fails with kResourceRefused; throws zmq::error_t. Call once.
  auto Start(zmq::context_t& context,
             const MeshConfig& config,
             PeerListener& listener) -> Result<void>;

 private:
  auto ReceiveAll() -> void;
  // Throws zmq::error_t.
  auto ReceiveBatch() -> void;

  EventLoop& loop_;
  const Callbacks callbacks_;
  zmq::socket_t socket_;
  EventLoop::Handle watch_;
  EventLoop::Handle timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_ROUTER_RECEIVER_H_
