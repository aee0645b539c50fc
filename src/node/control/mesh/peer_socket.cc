#include "node/control/mesh/peer_socket.h"

#include <utility>

#include "node/control/mesh/socket_options.h"

namespace flamingoyoke {

PeerSocket::PeerSocket(zmq::context_t& context,
                       const MeshConfig& config,
                       std::string endpoint)
    : endpoint_(std::move(endpoint)),
      socket_(context, zmq::socket_type::dealer) {
  SetSenderOptions(socket_);
  SetKeys(socket_, config, /*is_server=*/false);
  // Drops messages to a disconnected peer instead of queueing them: they would
  // be outdated once it reconnects.
  socket_.set(zmq::sockopt::immediate, true);
  socket_.connect("tcp://" + endpoint_);
}

auto PeerSocket::Send(std::string_view bytes) -> bool {
  try {
    return socket_.send(zmq::buffer(bytes), zmq::send_flags::dontwait)
        .has_value();
  } catch (const zmq::error_t&) {
    // Counted by the caller as not sent, like a full queue.
    return false;
  }
}

}  // namespace flamingoyoke
