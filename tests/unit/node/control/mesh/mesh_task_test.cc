#include "node/control/mesh/mesh_task.h"

#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

#include <array>
#include <chrono>
#include <ctime>
#include <optional>
#include <string>
#include <thread>
#include <zmq.hpp>

#include "node/log.h"
#include "unit/node/control/mesh/mesh_stranger.h"
#include "wire/peer_codec.h"

namespace flamingoyoke {
namespace {

TestSuite(mesh_task, .timeout = 120);

// More messages than ZeroMQ queues for a socket that is not read.
constexpr int kFloodMessages = 20'000;
constexpr int kMessagesPerPing = 10;
// More than the sending socket queues, less than the kernel buffers.
constexpr std::size_t kAnswerBytes = 32 << 10;
// Longer than the heartbeat period of a ZeroMQ connection that has one.
constexpr auto kTimerWait = std::chrono::milliseconds(2500);
constexpr auto kHandshakeWait = std::chrono::milliseconds(100);
constexpr auto kDeliveryWait = std::chrono::milliseconds(300);

// A mesh task whose thread gets no processor time unless the test calls Run().
class StarvedMesh {
 public:
  StarvedMesh()
      : port_(TestListener().port()),
        task_({.self = VmId("vm-a"),
               .incarnation = Incarnation(1),
               .address = "127.0.0.1:" + std::to_string(port_),
               .public_key = {},
               .secret_key = {}},
              {mailboxes_.fleet, mailboxes_.traffic, mailboxes_.telemetry}),
        context_(loop_) {
    const auto error = CaptureError([this] { return task_.Start(context_); });
    cr_assert_not(error, "%s", error ? error->detail.c_str() : "");
  }

  // Lets the task connect to a peer at `port`.
  auto ConnectTo(std::uint16_t port) -> void {
    const auto error = CaptureError([&] {
      return task_.Handle(PeerEndpointsChanged{
          {{VmId("vm-b"), "127.0.0.1:" + std::to_string(port)}}});
    });
    cr_assert_not(error);
  }

  auto Send(PeerMessage message) -> void {
    cr_assert_not(CaptureError([&] {
      return task_.Handle(
          PeerMessageToSend{{VmId("vm-b"), std::move(message)}});
    }));
  }

  // Tells the task that the link to that peer is silent.
  auto ReopenLink() -> void {
    cr_assert_not(CaptureError(
        [&] { return task_.Handle(PeerLinkSilent{VmId("vm-b")}); }));
  }

  // Lets the task run for `duration`.
  auto Run(Duration duration) -> void {
    auto timer = loop_.MakeTimer([this] { loop_.Quit(); });
    timer.Schedule(duration);
    loop_.Run();
  }

  // Lets `peer` connect, which the task runs for. Returns whether it followed.
  auto ShakeHandsWith(MeshStranger& peer) -> bool {
    return peer.ShakeHands([this] { Run(kHandshakeWait); });
  }

  // Whether the task receives the message of a peer.
  auto Receives() -> bool {
    mailboxes_.fleet.TakeAll();
    MeshStranger peer(port_);
    cr_assert(ShakeHandsWith(peer));
    const PeerEnvelope envelope{VmId("vm-b"), Incarnation(1), Heartbeat{}};
    peer.Write(MeshStranger::Message(EncodeEnvelope(envelope)));
    return ReceivesAny();
  }

  // Whether the task receives a message soon, or has received one.
  auto ReceivesAny() -> bool {
    Run(kDeliveryWait);
    return !mailboxes_.fleet.TakeAll().empty();
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

 private:
  EventLoop loop_;
  Mailboxes mailboxes_;
  std::uint16_t port_;
  MeshTask task_;
  TaskContext context_;
};

// Reads the next message that the peer receives.
auto ReadNext(zmq::socket_t& peer) -> PeerMessage {
  zmq::message_t frame;
  do {
    cr_assert(peer.recv(frame).has_value());
  } while (frame.more());
  std::optional<PeerEnvelope> envelope;
  const auto error = CaptureInto(
      envelope, [&] { return DecodeEnvelope(frame.to_string_view()); });
  cr_assert_not(error);
  return envelope->message;
}

// Sets a limit at which no descriptor is free, and returns the one before.
auto UseAllDescriptors() -> rlimit {
  // The sanitizer opens a pipe when it checks the type of an object first.
  Log(Part::kMesh, LogLevel::kWarning, zmq::error_t().what());
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int lowest = dup(STDIN_FILENO);
  close(lowest);
  const rlimit used_up{static_cast<rlim_t>(lowest), before.rlim_max};
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &used_up), 0);
  return before;
}

}  // namespace

// Load: a VM that is short of processor, whose gateway reports more outcomes
// than it can send. Guards against news that waits for seconds behind reports.
Test(mesh_task, reports_of_outcomes_give_way_to_other_messages) {
  constexpr int kReports = 100;
  zmq::context_t context;
  zmq::socket_t peer(context, zmq::socket_type::router);
  peer.set(zmq::sockopt::rcvtimeo, 10'000);
  peer.bind("tcp://127.0.0.1:*");
  const auto endpoint = peer.get(zmq::sockopt::last_endpoint);
  StarvedMesh mesh;
  mesh.ConnectTo(static_cast<std::uint16_t>(
      std::stoi(endpoint.substr(endpoint.rfind(':') + 1))));
  mesh.Run(kDeliveryWait);
  for (int i = 0; i < kReports; ++i) {
    mesh.Send(OutcomeReport{ServiceId("s"), {}, {}, 1});
  }
  mesh.Send(OutcomeBatch{{OutcomeReport{ServiceId("s"), {}, {}, 1}}});
  mesh.Send(TableAnnounce{});
  mesh.Run(kDeliveryWait);
  cr_expect(std::holds_alternative<TableAnnounce>(ReadNext(peer)));
  for (int i = 0; i < kReports; ++i) {
    cr_expect(std::holds_alternative<OutcomeReport>(ReadNext(peer)));
  }
  cr_expect(std::holds_alternative<OutcomeBatch>(ReadNext(peer)));
}

// Load: reports that the task has no time to send. Guards against memory that
// grows with them.
Test(mesh_task, keeps_the_newest_reports_of_outcomes) {
  constexpr std::uint64_t kReports = 1000;
  zmq::context_t context;
  zmq::socket_t peer(context, zmq::socket_type::router);
  peer.set(zmq::sockopt::rcvtimeo, 10'000);
  peer.bind("tcp://127.0.0.1:*");
  const auto endpoint = peer.get(zmq::sockopt::last_endpoint);
  StarvedMesh mesh;
  mesh.ConnectTo(static_cast<std::uint16_t>(
      std::stoi(endpoint.substr(endpoint.rfind(':') + 1))));
  mesh.Run(kDeliveryWait);
  for (std::uint64_t i = 1; i <= kReports; ++i) {
    mesh.Send(OutcomeReport{ServiceId("s"), {}, {}, i});
  }
  mesh.Run(kDeliveryWait);
  const auto first = std::get<OutcomeReport>(ReadNext(peer)).sequence;
  cr_expect_gt(first, kReports - 200);
  for (auto i = first + 1; i <= kReports; ++i) {
    cr_expect_eq(std::get<OutcomeReport>(ReadNext(peer)).sequence, i);
  }
}

// Guards against an abort inside ZeroMQ: a peer whose messages fill the queue
// of a VM short of processor time resets its connection.
Test(mesh_task, survives_the_reset_of_a_connection_with_a_full_queue) {
  StarvedMesh mesh;
  MeshStranger peer(mesh.port());
  cr_assert(mesh.ShakeHandsWith(peer));
  std::string flood;
  for (int i = 0; i < kFloodMessages; ++i) {
    flood += MeshStranger::Message("x");
  }
  cr_assert(peer.Write(flood));
  std::this_thread::sleep_for(kDeliveryWait);
  peer.Reset();
  std::this_thread::sleep_for(kTimerWait);
  mesh.Run(kDeliveryWait);
  cr_assert(mesh.Receives());
}

// Guards against the same abort caused by a peer's own ZeroMQ heartbeats that
// wait behind its messages.
Test(mesh_task, survives_heartbeats_queued_before_a_reset) {
  StarvedMesh mesh;
  MeshStranger peer(mesh.port());
  cr_assert(mesh.ShakeHandsWith(peer));
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
  mesh.Run(kDeliveryWait);
  cr_assert(mesh.Receives());
}

// Guards against the same abort on the connection that sends: the process at
// the address of a peer sends messages, which are never read, and resets.
Test(mesh_task, survives_a_peer_that_answers_and_resets) {
  StarvedMesh mesh;
  MeshListener listener;
  mesh.ConnectTo(listener.port());
  auto peer = listener.Accept();
  cr_assert(peer.ShakeHands());
  std::string flood;
  for (int i = 0; i < kFloodMessages; ++i) {
    flood += MeshStranger::Message("x") + MeshStranger::Ping();
  }
  peer.Write(flood.substr(0, kAnswerBytes));
  std::this_thread::sleep_for(kDeliveryWait);
  peer.Reset();
  std::this_thread::sleep_for(kTimerWait);
  mesh.Run(kDeliveryWait);
  cr_assert(mesh.Receives());
}

// Guards against a stranger that ends the process in the handshake: each prefix
// of a connection is followed by a reset, then by garbage.
Test(mesh_task, survives_strangers_in_the_handshake) {
  StarvedMesh mesh;
  cr_assert(mesh.Receives());
  const auto whole = MeshStranger::Greeting() + MeshStranger::Ready() +
                     MeshStranger::Ping() + MeshStranger::Message("x");
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    MeshStranger leaving(mesh.port());
    leaving.Write(whole.substr(0, size));
    leaving.Reset();
    MeshStranger faulty(mesh.port());
    faulty.Write(whole.substr(0, size) + std::string(64, '\xEE'));
    mesh.Run(std::chrono::milliseconds(2));
  }
  cr_assert(mesh.Receives());
}

// Guards against an abort inside ZeroMQ, which is refused a descriptor.
Test(mesh_task, a_refused_descriptor_fails_the_start) {
  EventLoop loop;
  Mailboxes mailboxes;
  TaskContext context(loop);
  std::optional<Error> error;
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int lowest = dup(STDIN_FILENO);
  close(lowest);
  for (rlim_t allowed = 0; allowed < 8; ++allowed) {
    const rlimit limit{static_cast<rlim_t>(lowest) + allowed, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);
    error = CaptureError([&] {
      MeshTask task({.self = VmId("vm-a"),
                     .incarnation = Incarnation(1),
                     .address = "127.0.0.1:0"},
                    {mailboxes.fleet, mailboxes.traffic, mailboxes.telemetry});
      return task.Start(context);
    });
    setrlimit(RLIMIT_NOFILE, &before);
    cr_assert(error && error->kind == ErrorKind::kResourceRefused);
  }
}

// Guards against libzmq's thread that calls accept() again and again while no
// descriptor is left, and against cutting the peers that are connected.
Test(mesh_task, pauses_the_listener_while_descriptors_are_used_up) {
  StarvedMesh mesh;
  MeshStranger connected(mesh.port());
  cr_assert(mesh.ShakeHandsWith(connected));
  const int waiting = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto before = UseAllDescriptors();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(mesh.port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  cr_assert_eq(
      connect(waiting, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  mesh.Run(std::chrono::milliseconds(600));
  const auto started = std::clock();
  mesh.Run(std::chrono::seconds(1));
  const auto used =
      static_cast<double>(std::clock() - started) / CLOCKS_PER_SEC;
  setrlimit(RLIMIT_NOFILE, &before);
  cr_expect_lt(used, 0.2, "used %.2f s in 1 s", used);
  close(waiting);
  mesh.Run(std::chrono::milliseconds(600));
  cr_expect(mesh.Receives());
  const PeerEnvelope envelope{VmId("vm-b"), Incarnation(1), Heartbeat{}};
  connected.Write(MeshStranger::Message(EncodeEnvelope(envelope)));
  cr_expect(mesh.ReceivesAny(), "the connection of a peer was cut");
}

// Guards against a peer that is never connected to, since the system refused a
// descriptor at the first attempt.
Test(mesh_task, connects_again_after_a_refused_descriptor) {
  StarvedMesh mesh;
  const TestListener listener;
  const auto before = UseAllDescriptors();
  mesh.ConnectTo(listener.port());
  mesh.Run(kDeliveryWait);
  setrlimit(RLIMIT_NOFILE, &before);
  mesh.ReopenLink();
  mesh.Run(kDeliveryWait);
  pollfd connection = {listener.descriptor(), POLLIN, 0};
  cr_assert_eq(poll(&connection, 1, 0), 1);
}

// Guards against a fleet with keys whose VMs don't hear each other, and against
// peers without the keys that are heard.
Test(mesh_task, only_peers_with_the_keys_are_heard) {
  std::array<char, 41> public_key{};
  std::array<char, 41> secret_key{};
  cr_assert_eq(zmq_curve_keypair(public_key.data(), secret_key.data()), 0);
  EventLoop loop;
  Mailboxes mailboxes;
  TaskContext context(loop);
  const auto port = TestListener().port();
  const auto address = "127.0.0.1:" + std::to_string(port);
  MeshTask receiver({.self = VmId("vm-b"),
                     .incarnation = Incarnation(1),
                     .address = address,
                     .public_key = public_key.data(),
                     .secret_key = secret_key.data()},
                    {mailboxes.fleet, mailboxes.traffic, mailboxes.telemetry});
  cr_assert_not(CaptureError([&] { return receiver.Start(context); }));
  const auto is_heard = [&](MeshConfig config) {
    const auto own_port = TestListener().port();
    config.address = "127.0.0.1:" + std::to_string(own_port);
    Mailboxes own;
    MeshTask sender(config, {own.fleet, own.traffic, own.telemetry});
    TaskContext own_context(loop);
    cr_assert_not(CaptureError([&] { return sender.Start(own_context); }));
    cr_assert_not(CaptureError([&] {
      return sender.Handle(PeerEndpointsChanged{{{VmId("vm-b"), address}}});
    }));
    auto timer = loop.MakeTimer([&] { loop.Quit(); });
    mailboxes.fleet.TakeAll();
    for (int i = 0; i < 2; ++i) {
      timer.Schedule(kDeliveryWait);
      loop.Run();
      cr_assert_not(CaptureError([&] {
        return sender.Handle(
            PeerMessageToSend{SendToPeer{VmId("vm-b"), Heartbeat{}}});
      }));
    }
    timer.Schedule(kDeliveryWait);
    loop.Run();
    return !mailboxes.fleet.TakeAll().empty();
  };
  MeshConfig config{.self = VmId("vm-a"), .incarnation = Incarnation(1)};
  cr_expect_not(is_heard(config), "without keys");
  config.public_key = public_key.data();
  config.secret_key = secret_key.data();
  cr_expect(is_heard(config), "with keys");
}

}  // namespace flamingoyoke
