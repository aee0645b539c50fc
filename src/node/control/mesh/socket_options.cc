#include "node/control/mesh/socket_options.h"

#include <cstdint>

#include "wire/peer_codec.h"

namespace flamingoyoke {
namespace {

// A peer that is further behind than this loses messages; all may be lost.
constexpr int kQueueLength = 256;
constexpr int kReconnectIntervalMs = 100;
constexpr int kMaxReconnectIntervalMs = 2000;
// A connection that is silent for longer than the timeout is opened again,
// since something between the two ends may have lost track of it.
constexpr int kHeartbeatIntervalMs = 2000;
constexpr int kHeartbeatTimeoutMs = 3000;
constexpr int kHandshakeTimeoutMs = 3000;

}  // namespace

auto SetCommonOptions(zmq::socket_t& socket) -> void {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kQueueLength);
  socket.set(zmq::sockopt::rcvhwm, kQueueLength);
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
