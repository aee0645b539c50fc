#ifndef FLAMINGOYOKE_NODE_CONTROL_MESH_KEY_AUTHENTICATOR_H_
#define FLAMINGOYOKE_NODE_CONTROL_MESH_KEY_AUTHENTICATOR_H_

#include <array>
#include <cstdint>
#include <string>
#include <zmq.hpp>

#include "node/control/mesh/mesh_config.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// Handles ZeroMQ authentication requests (ZAP, RFC 27). Accepts a peer only if
// it presents the public key of the fleet. Not thread-safe.
class KeyAuthenticator {
 public:
  // Must be created before a socket of `context` listens. Precondition:
  // `config` has keys. Throws zmq::error_t if another authenticator is bound.
  KeyAuthenticator(zmq::context_t& context,
                   EventLoop& loop,
                   const MeshConfig& config);

  [[nodiscard]] auto refused_count() const -> std::uint64_t {
    return refused_count_;
  }

 private:
  auto HandleRequests() -> void;
  // Returns false if no request was pending.
  auto HandleRequest() -> bool;

  std::array<std::uint8_t, 32> accepted_key_ = {};
  zmq::socket_t socket_;
  std::uint64_t refused_count_ = 0;
  EventLoop::Handle watch_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_MESH_KEY_AUTHENTICATOR_H_
