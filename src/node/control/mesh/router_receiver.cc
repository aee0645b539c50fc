#include "node/control/mesh/router_receiver.h"

#include <zmq.h>

#include <cerrno>
#include <string>
#include <utility>

#include "node/control/mesh/socket_options.h"

namespace flamingoyoke {
namespace {

// Messages received before control returns to the event loop, so that sending
// is not starved. The fleet task on the same loop handles as many in its turn;
// more would overflow its mailbox.
constexpr int kMaxReceiveBatch = 64;

}  // namespace

RouterReceiver::RouterReceiver(EventLoop& loop, Callbacks callbacks)
    : loop_(loop), callbacks_(std::move(callbacks)) {}

auto RouterReceiver::Start(zmq::context_t& context,
                           const MeshConfig& config,
                           PeerListener& listener) -> Result<void> {
  socket_ = zmq::socket_t(context, zmq::socket_type::router);
  SetReceiverOptions(socket_);
  SetKeys(socket_, config, /*is_server=*/true);
  BOOST_LEAF_AUTO(descriptor, listener.Duplicate());
  socket_.set(zmq::sockopt::use_fd, descriptor);
  socket_.bind("tcp://" + config.address);
  watch_ = loop_.WatchReadable(socket_.get(zmq::sockopt::fd),
                               [this] { ReceiveAll(); });
  timer_ = loop_.MakeTimer([this] { ReceiveAll(); });
  ReceiveAll();
  return {};
}

auto RouterReceiver::ReceiveAll() -> void {
  try {
    ReceiveBatch();
  } catch (const zmq::error_t& error) {
    // An exception must not reach libevent, which would end the process.
    if (error.num() == EINTR) {
      timer_.Schedule(Duration::zero());
      return;
    }
    callbacks_.on_error({ErrorKind::kSocketFailed,
                         std::string("cannot receive: ") + error.what()});
  }
}

auto RouterReceiver::ReceiveBatch() -> void {
  // The ZeroMQ descriptor is edge-triggered: it does not signal again until the
  // socket has been drained.
  for (int received = 0; received < kMaxReceiveBatch;) {
    zmq::message_t frame;
    if (!socket_.recv(frame, zmq::recv_flags::dontwait)) {
      return;
    }
    const auto is_payload = !frame.more();
    if (is_payload) {
      ++received;
      callbacks_.on_message(frame.to_string_view());
    }
  }
  timer_.Schedule(Duration::zero());
}

}  // namespace flamingoyoke
