#include "node/control/mesh/peer_server.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>
#include <zmq.hpp>

#include "unit/node/control/mesh/mesh_stranger.h"

namespace flamingoyoke {
namespace {

TestSuite(peer_server, .timeout = 60);

constexpr std::size_t kLarge = 100'000;
constexpr std::size_t kConnections = 4;
// Room for one large message beside the connections.
constexpr std::uint64_t kMemory = 80'000 + 180'000;
constexpr auto kWait = std::chrono::milliseconds(50);
// More than the patience of the budget.
constexpr auto kLongWait = std::chrono::milliseconds(1300);
// More calls of Check() than a silent connection survives.
constexpr int kManyChecks = 70;

// Bytes of a message of kLarge bytes.
auto LargeMessage() -> std::string {
  return std::string("\x02\0\0\0\0\0\x01\x86\xa0", 9) +
         std::string(kLarge, 'x');
}

// A server whose loop runs only in Run().
class Server {
 public:
  Server()
      : port_(TestListener().port()),
        listener_(Listen(port_)),
        server_(loop_,
                listener_,
                {.connections = kConnections,
                 .message_bytes = kLarge,
                 .memory_bytes = kMemory},
                [this](std::string_view bytes) {
                  messages_.emplace_back(bytes);
                  return bytes != "invalid";
                }) {}

  auto Run(Duration duration = kWait) -> void {
    auto timer = loop_.MakeTimer([this] { loop_.Quit(); });
    timer.Schedule(duration);
    loop_.Run();
  }

  // Returns a connection that has shaken hands.
  auto Connect() -> MeshStranger {
    MeshStranger peer(port_);
    cr_assert(peer.ShakeHands([this] { Run(); }));
    return peer;
  }

  // Returns a connection that has sent nothing.
  auto ConnectSilently() -> MeshStranger {
    MeshStranger peer(port_);
    Run();
    return peer;
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

  auto Check(int times = 1) -> void {
    for (int i = 0; i < times; ++i) {
      server_.Check();
    }
    Run();
  }

  auto TakeMessages() -> std::vector<std::string> {
    return std::exchange(messages_, {});
  }

  [[nodiscard]] auto Metric(const std::string& name) const -> double {
    std::vector<MetricSample> samples;
    server_.AppendTo(samples);
    for (const auto& sample : samples) {
      if (sample.name == "flamingoyoke_mesh_" + name) {
        return sample.value;
      }
    }
    return -1;
  }

 private:
  static auto Listen(std::uint16_t port) -> PeerListener {
    PeerListener listener;
    cr_assert_not(CaptureError(
        [&] { return listener.Listen("127.0.0.1:" + std::to_string(port)); }));
    return listener;
  }

  EventLoop loop_;
  std::uint16_t port_;
  PeerListener listener_;
  std::vector<std::string> messages_;
  PeerServer server_;
};

}  // namespace

// Guards against messages that are lost, changed or out of order.
Test(peer_server, messages_are_passed_on_in_order) {
  Server server;
  auto peer = server.Connect();
  std::string bytes;
  std::vector<std::string> expected;
  for (int i = 0; i < 1000; ++i) {
    expected.push_back(std::to_string(i));
    bytes += MeshStranger::Message(expected.back());
  }
  peer.Write(bytes);
  server.Run();
  cr_assert(server.TakeMessages() == expected);
}

// Guards against a DEALER socket of libzmq, as in the releases before, that
// closes the connection, with heartbeats and without.
Test(peer_server, libzmq_is_understood) {
  for (const int heartbeat_ms : {0, 50}) {
    Server server;
    zmq::context_t context(1);
    zmq::socket_t dealer(context, zmq::socket_type::dealer);
    dealer.set(zmq::sockopt::linger, 0);
    dealer.set(zmq::sockopt::heartbeat_ivl, heartbeat_ms);
    dealer.set(zmq::sockopt::heartbeat_timeout, 200);
    dealer.connect("tcp://127.0.0.1:" + std::to_string(server.port()));
    const std::string large(kLarge, 'x');
    dealer.send(zmq::buffer(std::string_view("small")), zmq::send_flags::none);
    dealer.send(zmq::buffer(large), zmq::send_flags::none);
    server.Run(std::chrono::milliseconds(500));
    const std::vector<std::string> expected = {"small", large};
    cr_expect(server.TakeMessages() == expected, "heartbeats each %d ms",
              heartbeat_ms);
    server.Run(std::chrono::milliseconds(500));
    dealer.send(zmq::buffer(std::string_view("late")), zmq::send_flags::none);
    server.Run();
    cr_expect(server.TakeMessages() == std::vector<std::string>{"late"});
    cr_expect_eq(server.Metric("accepted_connections_total"), 1,
                 "connected again");
  }
}

// Guards against large messages of several peers that are refused or held at
// the same time.
Test(peer_server, large_messages_wait_for_one_another) {
  Server server;
  auto first = server.Connect();
  auto second = server.Connect();
  const auto bytes = LargeMessage();
  const auto half = bytes.size() / 2;
  first.Write(bytes.substr(0, half));
  server.Run();
  second.Write(bytes);
  server.Run();
  cr_expect(server.TakeMessages().empty());
  cr_expect_eq(server.Metric("memory_bytes"), kLarge);
  first.Write(bytes.substr(half));
  server.Run();
  cr_expect_eq(server.TakeMessages().size(), 2);
  cr_expect_eq(server.Metric("memory_bytes"), 0);
  cr_expect_not(first.IsClosed());
  cr_expect_not(second.IsClosed());
}

// Guards against strangers that keep the memory which others want, and against
// heartbeats that wait for it.
Test(peer_server, message_without_progress_gives_way) {
  Server server;
  auto stalled = server.Connect();
  auto waiting = server.Connect();
  auto small = server.Connect();
  stalled.Write(LargeMessage().substr(0, kLarge));
  server.Run();
  server.Run(kLongWait);
  server.Check();
  cr_expect_not(stalled.IsClosed(), "closed though nobody wants memory");
  waiting.Write(LargeMessage());
  small.Write(MeshStranger::Message("heartbeat"));
  server.Run();
  cr_expect(server.TakeMessages() == std::vector<std::string>{"heartbeat"});
  server.Check();
  cr_expect(stalled.IsClosed());
  cr_expect_eq(server.TakeMessages().size(), 1);
  cr_expect_eq(server.Metric("closed_for_memory_total"), 1);
}

// Guards against strangers that keep memory with a byte now and then.
Test(peer_server, slow_message_gives_way) {
  Server server;
  auto slow = server.Connect();
  auto waiting = server.Connect();
  slow.Write(LargeMessage().substr(0, 1000));
  server.Run();
  waiting.Write(LargeMessage());
  for (int i = 0; i < 6; ++i) {
    slow.Write(std::string(100, 'x'));
    server.Run(std::chrono::milliseconds(250));
    server.Check();
  }
  cr_expect(slow.IsClosed());
  cr_expect_eq(server.TakeMessages().size(), 1);
}

// Guards against connections that are kept for nothing, and against peers that
// are closed with them.
Test(peer_server, silent_connections_are_closed) {
  Server server;
  auto silent = server.ConnectSilently();
  auto faulty = server.Connect();
  auto peer = server.Connect();
  server.Check(20);
  cr_expect(silent.IsClosed(), "no handshake");
  cr_expect_not(faulty.IsClosed());
  for (int i = 0; i < kManyChecks / 10; ++i) {
    faulty.Write(MeshStranger::Message("invalid"));
    peer.Write(MeshStranger::Message("valid"));
    server.Run();
    server.Check(10);
  }
  cr_expect(faulty.IsClosed(), "no valid message");
  cr_expect_not(peer.IsClosed());
  server.Check(kManyChecks);
  cr_expect(peer.IsClosed());
  cr_expect_eq(server.Metric("closed_for_silence_total"), 3);
  cr_expect_eq(server.Metric("connections"), 0);
}

// Guards against strangers that take the connections of peers.
Test(peer_server, strangers_give_way_to_new_connections) {
  Server server;
  auto peer = server.Connect();
  peer.Write(MeshStranger::Message("valid"));
  server.Run();
  std::vector<MeshStranger> strangers;
  for (std::size_t i = 0; i < 3 * kConnections; ++i) {
    strangers.push_back(server.ConnectSilently());
  }
  cr_expect_eq(server.Metric("connections"), kConnections);
  cr_expect_not(peer.IsClosed());
  auto other = server.Connect();
  other.Write(MeshStranger::Message("valid"));
  server.Run();
  cr_expect_eq(server.TakeMessages().size(), 2);
}

// Guards against peers that give way to new connections.
Test(peer_server, active_peers_are_kept) {
  Server server;
  std::vector<MeshStranger> peers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    peers.push_back(server.Connect());
    peers.back().Write(MeshStranger::Message("valid"));
    server.Run();
  }
  const auto late = server.ConnectSilently();
  cr_expect(late.IsClosed());
  for (const auto& peer : peers) {
    cr_expect_not(peer.IsClosed());
  }
  server.Check(10);
  const auto later = server.ConnectSilently();
  cr_expect_not(later.IsClosed(), "no silent peer gave way");
}

// Guards against input that is read on after a refusal.
Test(peer_server, refused_input_closes_the_connection) {
  Server server;
  auto peer = server.Connect();
  peer.Write("\x01\x01x" + MeshStranger::Message("valid"));
  server.Run();
  cr_expect(peer.IsClosed());
  cr_expect(server.TakeMessages().empty());
  cr_expect_eq(server.Metric("closed_for_protocol_total"), 1);
}

// Guards against heartbeats without an end that take memory or all of the time.
Test(peer_server, unread_answers_to_heartbeats_are_dropped) {
  Server server;
  auto flooding = server.Connect();
  auto peer = server.Connect();
  std::string pings;
  for (int i = 0; i < 5000; ++i) {
    pings += MeshStranger::Ping();
  }
  flooding.Write(pings);
  peer.Write(MeshStranger::Message("valid"));
  server.Run();
  cr_expect_eq(server.TakeMessages().size(), 1);
}

}  // namespace flamingoyoke
