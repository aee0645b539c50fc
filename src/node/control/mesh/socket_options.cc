#include "node/control/mesh/socket_options.h"

#include <cstdint>

#include "wire/peer_codec.h"

namespace flamingoyoke {
namespace {

// Messages beyond this queue length are dropped, which the protocol tolerates
// for every kind of message.
constexpr int kMaxQueuedMessages = 256;
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 2000;
// A connection without traffic for longer than the timeout is reopened, since a
// middlebox may have dropped its state.
constexpr int kHeartbeatIntervalMs = 2000;
constexpr int kHeartbeatTimeoutMs = 3000;
constexpr int kHandshakeTimeoutMs = 3000;

}  // namespace

auto SetCommonOptions(zmq::socket_t& socket) -> void {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  socket.set(zmq::sockopt::rcvhwm, kMaxQueuedMessages);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxEnvelopeBytes));
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
}

auto SetKeys(zmq::socket_t& socket, const MeshConfig& config, bool is_server)
    -> void {
  if (!config.HasKeys()) {
    return;
  }
  socket.set(zmq::sockopt::curve_secretkey, config.secret_key);
  socket.set(zmq::sockopt::curve_publickey, config.public_key);
  if (is_server) {
    socket.set(zmq::sockopt::curve_server, true);
    return;
  }
  socket.set(zmq::sockopt::curve_serverkey, config.public_key);
}

}  // namespace flamingoyoke
