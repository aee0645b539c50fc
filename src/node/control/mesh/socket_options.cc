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
constexpr int kHandshakeTimeoutMs = 3000;
// Probes that release the resources of connections whose peer is gone.
constexpr int kKeepaliveIdleS = 10;
constexpr int kKeepaliveIntervalS = 5;
constexpr int kKeepaliveProbes = 3;
constexpr int kUnlimited = 0;

// ZeroMQ heartbeats stay off: libzmq 4.3.4 aborts the process if one is due on
// a connection that was reset while its queue of received messages was full.
// Membership detects silent links and has them reopened.
auto SetCommonOptions(zmq::socket_t& socket) -> void {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxEnvelopeBytes));
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectIntervalMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectIntervalMs);
  socket.set(zmq::sockopt::handshake_ivl, kHandshakeTimeoutMs);
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, kKeepaliveIdleS);
  socket.set(zmq::sockopt::tcp_keepalive_intvl, kKeepaliveIntervalS);
  socket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepaliveProbes);
}

}  // namespace

auto SetReceiverOptions(zmq::socket_t& socket) -> void {
  SetCommonOptions(socket);
  // With a limit, a peer's own heartbeats behind a full queue cause the same
  // abort. The mesh task has no other work than to drain the queue.
  socket.set(zmq::sockopt::rcvhwm, kUnlimited);
}

auto SetSenderOptions(zmq::socket_t& socket) -> void {
  SetCommonOptions(socket);
  socket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
  // Nothing is received here. One message is the lowest limit, and bounds what
  // a process at the address of a peer can make this one store.
  socket.set(zmq::sockopt::rcvhwm, 1);
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
