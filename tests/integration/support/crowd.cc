#include "integration/support/crowd.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace flamingoyoke::integration {
namespace {

constexpr int kReceiveBufferBytes = 4096;
constexpr std::chrono::seconds kNoProgress(2);
constexpr std::size_t kWriteBytes = 64 << 10;

auto ConnectTo(const NamedEndpoint& server) -> int {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  cr_assert_geq(descriptor, 0);
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
             sizeof(kReceiveBufferBytes));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.endpoint.port);
  inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return -1;
  }
  fcntl(descriptor, F_SETFL, O_NONBLOCK);
  return descriptor;
}

}  // namespace

Crowd::~Crowd() {
  for (const auto& connection : connections_) {
    close(connection.descriptor);
  }
}

auto Crowd::Add(const NamedEndpoint& server,
                std::size_t connections,
                std::string bytes) -> void {
  const auto shared = std::make_shared<const std::string>(std::move(bytes));
  for (std::size_t i = 0; i < connections; ++i) {
    const int descriptor = ConnectTo(server);
    if (descriptor >= 0) {
      connections_.push_back({descriptor, shared});
    }
  }
}

auto Crowd::Send(std::size_t burst) -> void {
  for (auto& connection : connections_) {
    const auto size = connection.bytes->size();
    connection.limit =
        burst == 0 ? size : std::min(size, connection.sent + burst);
  }
  auto progress = std::chrono::steady_clock::now();
  while (true) {
    std::size_t pending = 0;
    for (auto& connection : connections_) {
      const auto left =
          std::min(connection.limit - connection.sent, kWriteBytes);
      if (connection.is_closed || left == 0) {
        continue;
      }
      ++pending;
      const auto sent =
          send(connection.descriptor,
               connection.bytes->data() + connection.sent, left, MSG_NOSIGNAL);
      if (sent > 0) {
        connection.sent += static_cast<std::size_t>(sent);
        progress = std::chrono::steady_clock::now();
      } else if (errno != EAGAIN) {
        connection.is_closed = true;
      }
    }
    if (pending == 0 ||
        std::chrono::steady_clock::now() - progress > kNoProgress) {
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

auto Crowd::ReadStatus() -> int {
  cr_assert(!connections_.empty());
  const int descriptor = connections_.front().descriptor;
  std::string answer;
  constexpr std::size_t kStatusEnd = 12;
  constexpr std::size_t kStatusStart = 9;
  while (answer.size() < kStatusEnd) {
    pollfd ready{.fd = descriptor, .events = POLLIN, .revents = 0};
    constexpr int kLimitMs = 20'000;
    std::array<char, kStatusEnd> part{};
    const auto got = poll(&ready, 1, kLimitMs) == 1
                         ? recv(descriptor, part.data(), part.size(), 0)
                         : 0;
    if (got <= 0) {
      return 0;
    }
    answer.append(part.data(), static_cast<std::size_t>(got));
  }
  return std::atoi(answer.c_str() + kStatusStart);
}

auto OpenHead(const std::string& method,
              const std::string& host,
              const std::string& path) -> std::string {
  return method + " " + path + " HTTP/1.1\r\nHost: " + host +
         "\r\nX-Request-Id: crowd\r\nX-Request-Deadline-Ms: 3000\r\n";
}

auto WholeBody(const std::string& head, std::size_t size, std::size_t missing)
    -> std::string {
  return head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
         std::string(size - missing, 'x');
}

auto ChunkedBody(const std::string& head,
                 std::size_t size,
                 std::size_t chunk,
                 std::size_t missing) -> std::string {
  std::array<char, 16> number{};
  std::snprintf(number.data(), number.size(), "%zx", chunk);
  const auto whole =
      std::string(number.data()) + "\r\n" + std::string(chunk, 'x') + "\r\n";
  auto body = Repeat(whole, size / chunk);
  if (missing > 0) {
    body.resize(body.size() - missing);
  } else {
    body += "0\r\n\r\n";
  }
  return head + "Transfer-Encoding: chunked\r\n\r\n" + body;
}

auto Repeat(const std::string& text, std::size_t count) -> std::string {
  std::string result;
  result.reserve(text.size() * count);
  for (std::size_t i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

}  // namespace flamingoyoke::integration
