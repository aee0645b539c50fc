#include "node/control/mesh/router_receiver.h"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "unit/node/control/mesh/mesh_stranger.h"

namespace flamingoyoke {
namespace {

TestSuite(router_receiver, .timeout = 60);

// More messages than ZeroMQ queues for a socket that is not read by default.
constexpr int kFloodMessages = 20'000;
constexpr int kMessagesPerPing = 10;
// Longer than the heartbeat period of a ZeroMQ connection that has one.
constexpr auto kTimerWait = std::chrono::milliseconds(2500);
constexpr auto kDeliveryWait = std::chrono::milliseconds(300);

// A receiver that gets no processor time unless the test calls Run(). It has no
// keys, so that MeshStranger can act as a peer that has them.
class StarvedReceiver {
 public:
  StarvedReceiver()
      : port_(TestListener().port()),
        context_(1),
        receiver_(loop_,
                  {[this](std::string_view bytes) { last_ = bytes; },
                   [this](Error error) { error_ = std::move(error); }}) {
    const MeshConfig config{.address = "127.0.0.1:" + std::to_string(port_)};
    const auto error = CaptureError([&]() -> Result<void> {
      BOOST_LEAF_CHECK(listener_.Listen(config.address));
      return receiver_.Start(context_, config, listener_);
    });
    cr_assert_not(error, "%s", error ? error->detail.c_str() : "");
  }

  auto Run() -> void {
    auto timer = loop_.MakeTimer([this] { loop_.Quit(); });
    timer.Schedule(kDeliveryWait);
    loop_.Run();
  }

  // Whether the message of another peer is received.
  auto Receives() -> bool {
    MeshStranger peer(port_);
    cr_assert(peer.ShakeHands());
    peer.Write(MeshStranger::Message("last"));
    Run();
    return last_ == "last" && !error_;
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

 private:
  EventLoop loop_;
  std::uint16_t port_;
  PeerListener listener_;
  zmq::context_t context_;
  std::string last_;
  std::optional<Error> error_;
  RouterReceiver receiver_;
};

}  // namespace

// Guards against an abort inside ZeroMQ: a peer whose messages fill the queue
// of a VM short of processor time resets its connection.
Test(router_receiver, survives_the_reset_of_a_connection_with_a_full_queue) {
  StarvedReceiver receiver;
  MeshStranger peer(receiver.port());
  cr_assert(peer.ShakeHands());
  std::string flood;
  for (int i = 0; i < kFloodMessages; ++i) {
    flood += MeshStranger::Message("x");
  }
  cr_assert(peer.Write(flood));
  std::this_thread::sleep_for(kDeliveryWait);
  peer.Reset();
  std::this_thread::sleep_for(kTimerWait);
  receiver.Run();
  cr_assert(receiver.Receives());
}

// Guards against the same abort caused by a peer's own ZeroMQ heartbeats that
// wait behind its messages.
Test(router_receiver, survives_heartbeats_queued_before_a_reset) {
  StarvedReceiver receiver;
  MeshStranger peer(receiver.port());
  cr_assert(peer.ShakeHands());
  std::string flood;
  for (int i = 0; i < kFloodMessages; ++i) {
    flood += MeshStranger::Message("x");
    if (i % kMessagesPerPing == 0) {
      flood += MeshStranger::Ping();
    }
  }
  cr_assert(peer.Write(flood));
  std::this_thread::sleep_for(kDeliveryWait);
  peer.Reset();
  std::this_thread::sleep_for(kDeliveryWait);
  receiver.Run();
  cr_assert(receiver.Receives());
}

// Guards against a receiver that ends with garbage in the handshake.
Test(router_receiver, survives_strangers_in_the_handshake) {
  StarvedReceiver receiver;
  const auto whole = MeshStranger::Greeting() + MeshStranger::Ready() +
                     MeshStranger::Ping() + MeshStranger::Message("x");
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    MeshStranger leaving(receiver.port());
    leaving.Write(whole.substr(0, size));
    leaving.Reset();
    MeshStranger faulty(receiver.port());
    faulty.Write(whole.substr(0, size) + std::string(64, '\xEE'));
  }
  receiver.Run();
  cr_assert(receiver.Receives());
}

}  // namespace flamingoyoke
