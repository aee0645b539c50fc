#ifndef FLAMINGOYOKE_TESTS_UNIT_NODE_CONTROL_MESH_MESH_STRANGER_H_
#define FLAMINGOYOKE_TESTS_UNIT_NODE_CONTROL_MESH_MESH_STRANGER_H_

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {

// Client of a mesh port that speaks ZMTP 3.0 with the NULL mechanism, byte by
// byte as a test wants it.
class MeshStranger {
 public:
  explicit MeshStranger(std::uint16_t port)
      : socket_(TestSocket::Connect(port)) {}
  explicit MeshStranger(TestSocket socket) : socket_(std::move(socket)) {}

  // The bytes that open a connection: signature, version, mechanism.
  static auto Greeting() -> std::string {
    std::string bytes = "\xFF";
    bytes.append(8, '\0').append("\x7F\x03", 2).append(1, '\0');
    bytes.append("NULL").append(16, '\0').append(32, '\0');
    return bytes;
  }
  // The handshake command of a DEALER socket.
  static auto Ready() -> std::string {
    std::string body = "\x05READY\x0BSocket-Type";
    body.append("\0\0\0\x06", 4).append("DEALER");
    body.append("\x08Identity").append(4, '\0');
    return Frame('\x04', body);
  }
  static auto Message(std::string_view body) -> std::string {
    return Frame('\0', body);
  }
  // A ZMTP heartbeat without a time to live.
  static auto Ping() -> std::string {
    return Frame('\x04', std::string("\x04PING\0\0", 7));
  }

  auto Write(std::string_view bytes) -> bool { return socket_.Write(bytes); }

  // Opens the connection in order. ZeroMQ ignores messages that arrive together
  // with the handshake. `let_answer` is called before each answer is read, for
  // another side that runs on this thread. Returns whether the other side
  // followed.
  auto ShakeHands(const std::function<void()>& let_answer = [] {}) -> bool {
    if (!Write(Greeting())) {
      return false;
    }
    let_answer();
    if (!ReadBytes(Greeting().size()) || !Write(Ready())) {
      return false;
    }
    let_answer();
    return ReadBytes(1);
  }

  // Whether the other side closed the connection. Drops what it sent.
  [[nodiscard]] auto IsClosed() const -> bool {
    std::array<char, 256> bytes{};
    ssize_t received = 0;
    do {
      received =
          recv(socket_.descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    } while (received > 0);
    return received == 0 || errno != EAGAIN;
  }

  // Resets the connection instead of closing it in order.
  auto Reset() -> void { socket_.Reset(); }

 private:
  auto ReadBytes(std::size_t size) -> bool {
    std::string bytes(size, '\0');
    return recv(socket_.descriptor(), bytes.data(), size, MSG_WAITALL) ==
           static_cast<ssize_t>(size);
  }

  // Precondition: `body` is shorter than 256 bytes.
  static auto Frame(char flags, std::string_view body) -> std::string {
    std::string frame(1, flags);
    frame.push_back(static_cast<char>(body.size()));
    return frame.append(body);
  }

  TestSocket socket_;
};

// Accepts the connections of a mesh task as the process of a peer.
class MeshListener {
 public:
  [[nodiscard]] auto port() const -> std::uint16_t { return listener_.port(); }
  auto Accept() -> MeshStranger { return MeshStranger(listener_.Accept()); }

 private:
  TestListener listener_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_NODE_CONTROL_MESH_MESH_STRANGER_H_
