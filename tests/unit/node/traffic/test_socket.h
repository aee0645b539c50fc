#ifndef FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_TEST_SOCKET_H_
#define FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_TEST_SOCKET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "node/traffic/http_text.h"

namespace flamingoyoke {

// Blocking TCP socket on the loopback interface, with timeouts of 20 s.
class TestSocket {
 public:
  struct Message {
    std::string head;
    std::string body;
    // Whether the body is complete according to the head.
    bool whole = false;

    [[nodiscard]] auto status() const -> int {
      return head.size() < 12 ? 0 : std::atoi(head.c_str() + 9);
    }
    // Returns the value of the first header `name`, or nullopt.
    [[nodiscard]] auto header(std::string_view name) const
        -> std::optional<std::string> {
      std::size_t start = head.find("\r\n");
      while (start != std::string::npos && start + 2 < head.size()) {
        start += 2;
        const auto end = std::min(head.find("\r\n", start), head.size());
        const auto line = std::string_view(head).substr(start, end - start);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos &&
            EqualsIgnoringCase(line.substr(0, colon), name)) {
          return std::string(TrimSpace(line.substr(colon + 1)));
        }
        start = end == head.size() ? std::string::npos : end;
      }
      return std::nullopt;
    }
  };

  TestSocket() = default;
  explicit TestSocket(int descriptor) : descriptor_(descriptor) {
    const timeval limit{.tv_sec = 20, .tv_usec = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  }
  TestSocket(TestSocket&& other) noexcept
      : descriptor_(std::exchange(other.descriptor_, -1)),
        buffer_(std::move(other.buffer_)) {}
  auto operator=(TestSocket&& other) noexcept -> TestSocket& {
    std::swap(descriptor_, other.descriptor_);
    std::swap(buffer_, other.buffer_);
    return *this;
  }
  ~TestSocket() { Close(); }

  // `receive_buffer` is the size of the kernel's buffer in bytes; 0 keeps the
  // default.
  static auto Connect(std::uint16_t port, int receive_buffer = 0)
      -> TestSocket {
    TestSocket socket(::socket(AF_INET, SOCK_STREAM, 0));
    if (receive_buffer > 0) {
      setsockopt(socket.descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(socket.descriptor_, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) != 0) {
      socket.Close();
    }
    return socket;
  }

  [[nodiscard]] auto valid() const -> bool { return descriptor_ >= 0; }
  [[nodiscard]] auto descriptor() const -> int { return descriptor_; }

  auto Write(std::string_view text) -> bool {
    while (!text.empty()) {
      const auto sent =
          send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      text.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Reads until the peer closes or the timeout; returns the received bytes.
  auto ReadAll() -> std::string {
    while (Fill()) {
    }
    return std::exchange(buffer_, {});
  }

  // Waits until the peer closes the connection. Returns false if it sends data
  // first or the timeout expires.
  auto WaitForClose() -> bool {
    char byte = 0;
    const auto got = recv(descriptor_, &byte, 1, 0);
    return buffer_.empty() && (got == 0 || (got < 0 && errno != EAGAIN));
  }

  // Reads one HTTP message framed by Content-Length or chunks. Returns nothing
  // if the connection ended before a head.
  auto ReadMessage(bool has_body = true) -> std::optional<Message> {
    auto head_end = buffer_.find("\r\n\r\n");
    while (head_end == std::string::npos) {
      if (!Fill()) {
        return std::nullopt;
      }
      head_end = buffer_.find("\r\n\r\n");
    }
    Message message;
    message.head = buffer_.substr(0, head_end);
    buffer_.erase(0, head_end + 4);
    if (!has_body) {
      message.whole = true;
    } else if (message.header("Transfer-Encoding")) {
      ReadChunks(message);
    } else {
      const auto length = message.header("Content-Length");
      const auto size =
          length ? static_cast<std::size_t>(std::stoul(*length)) : 0;
      message.whole = Take(size, message.body);
    }
    return message;
  }

  auto Shutdown() -> void {
    if (descriptor_ >= 0) {
      shutdown(descriptor_, SHUT_RDWR);
    }
  }

  // Closes the connection with a reset.
  auto Reset() -> void {
    const linger no_linger{.l_onoff = 1, .l_linger = 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &no_linger,
               sizeof(no_linger));
    Close();
  }

  auto Close() -> void {
    if (descriptor_ >= 0) {
      close(std::exchange(descriptor_, -1));
    }
  }

 private:
  auto Fill() -> bool {
    std::array<char, 65536> part{};
    const auto got = recv(descriptor_, part.data(), part.size(), 0);
    if (got <= 0) {
      return false;
    }
    buffer_.append(part.data(), static_cast<std::size_t>(got));
    return true;
  }

  // Appends `size` bytes to `out`. Returns false if the connection ended
  // before.
  auto Take(std::size_t size, std::string& out) -> bool {
    while (buffer_.size() < size && Fill()) {
    }
    const auto taken = std::min(size, buffer_.size());
    out.append(buffer_, 0, taken);
    buffer_.erase(0, taken);
    return taken == size;
  }

  auto ReadChunks(Message& message) -> void {
    while (true) {
      auto line_end = buffer_.find("\r\n");
      while (line_end == std::string::npos) {
        if (!Fill()) {
          return;
        }
        line_end = buffer_.find("\r\n");
      }
      const auto size = std::stoul(buffer_.substr(0, line_end), nullptr, 16);
      buffer_.erase(0, line_end + 2);
      std::string separator;
      if (!Take(size, message.body) || !Take(2, separator)) {
        return;
      }
      if (size == 0) {
        message.whole = true;
        return;
      }
    }
  }

  int descriptor_ = -1;
  std::string buffer_;
};

// Listens on a free port of the loopback interface.
class TestListener {
 public:
  TestListener() : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(descriptor_, reinterpret_cast<sockaddr*>(&address),
               sizeof(address));
    (void)listen(descriptor_, 64);
    socklen_t size = sizeof(address);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  TestListener(const TestListener&) = delete;
  auto operator=(const TestListener&) -> TestListener& = delete;
  ~TestListener() { close(descriptor_); }

  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }
  [[nodiscard]] auto descriptor() const -> int { return descriptor_; }

  // Returns the next connection, or an invalid socket after Shutdown().
  auto Accept() -> TestSocket {
    const int accepted = accept(descriptor_, nullptr, nullptr);
    return accepted < 0 ? TestSocket() : TestSocket(accepted);
  }
  auto Shutdown() -> void { shutdown(descriptor_, SHUT_RDWR); }

 private:
  int descriptor_;
  std::uint16_t port_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_NODE_TRAFFIC_TEST_SOCKET_H_
