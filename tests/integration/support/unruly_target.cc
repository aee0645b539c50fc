#include "integration/support/unruly_target.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <vector>

#include "integration/support/crowd.h"

namespace flamingoyoke::integration {
namespace {

constexpr int kBacklog = 1024;
constexpr int kPollMs = 50;
// The gateway has taken the answer by then.
constexpr std::chrono::milliseconds kIdleTime(500);
constexpr std::size_t kReadBytes = 16 << 10;
constexpr std::size_t kPieceBytes = 16 << 10;
// Above the number of callers of a test.
constexpr int kSlots = 1000;

// Returns the value of a field of `head`, or nothing.
auto FieldOf(const std::string& head, const std::string& name) -> std::string {
  const auto start = "\r\n" + name + ": ";
  const auto found = head.find(start);
  if (found == std::string::npos) {
    return "";
  }
  const auto value = found + start.size();
  return head.substr(value, head.find("\r\n", value) - value);
}

auto PieceOf(EndlessPart part) -> std::string {
  switch (part) {
    case EndlessPart::kStatusLine:
    case EndlessPart::kField:
    case EndlessPart::kBodyByLength:
    case EndlessPart::kAfterAnswer:
    case EndlessPart::kOnIdleConnection:
      return std::string(kPieceBytes, 'x');
    case EndlessPart::kFields:
    case EndlessPart::kTrailer:
      return Repeat("a: b\r\n", kPieceBytes / 6);
    case EndlessPart::kChunks:
      return Repeat("10\r\n0123456789abcdef\r\n", kPieceBytes / 22);
    case EndlessPart::kChunkSizeLine:
      return std::string(kPieceBytes, '0');
    case EndlessPart::kInterimResponses:
      return Repeat("HTTP/1.1 100 Continue\r\n\r\n", kPieceBytes / 25);
  }
  return "";
}

// Returns what comes before the bytes that repeat.
auto PrefixOf(EndlessPart part, const std::string& fields) -> std::string {
  auto head = "HTTP/1.1 200 OK\r\n" + fields;
  auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  switch (part) {
    case EndlessPart::kStatusLine:
      return "HTTP/1.1 200 ";
    case EndlessPart::kField:
      return head + "X-Long: ";
    case EndlessPart::kFields:
      return head;
    case EndlessPart::kBodyByLength:
      return head + "Content-Length: 1000000000000\r\n\r\n";
    case EndlessPart::kChunks:
      return chunked;
    case EndlessPart::kChunkSizeLine:
      return chunked + "4\r\nbody\r\n";
    case EndlessPart::kTrailer:
      return chunked + "4\r\nbody\r\n0\r\n";
    case EndlessPart::kInterimResponses:
      return "";
    case EndlessPart::kAfterAnswer:
    case EndlessPart::kOnIdleConnection:
      return head + "Content-Length: 4\r\n\r\nbody";
  }
  return "";
}

}  // namespace

UnrulyTarget::UnrulyTarget(EndlessPart part)
    : part_(part),
      listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)),
      piece_(PieceOf(part)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  cr_assert_eq(bind(listener_, generic, size), 0);
  cr_assert_eq(listen(listener_, kBacklog), 0);
  cr_assert_eq(getsockname(listener_, generic, &size), 0);
  port_ = ntohs(address.sin_port);
  thread_ = std::thread([this] { Run(); });
}

UnrulyTarget::~UnrulyTarget() {
  is_stopping_ = true;
  thread_.join();
  for (const auto& [descriptor, connection] : connections_) {
    close(descriptor);
  }
  close(listener_);
}

auto UnrulyTarget::name() const -> std::string {
  return std::string(ToName(part_));
}

auto UnrulyTarget::RegistrationJson() const -> std::string {
  return nlohmann::json{
      {"address", "127.0.0.1:" + std::to_string(port_)},
      {"born", 1000},
      {"info",
       {{"service", name()},
        {"version", "v1"},
        {"zone", "a"},
        {"slots", kSlots}}},
      {"status", {{"state", "ready"}, {"seq", 1}, {"warmup_left_ms", 0}}}}
      .dump();
}

auto UnrulyTarget::Run() -> void {
  while (!is_stopping_) {
    StartDue();
    std::vector<pollfd> watched = {
        {.fd = listener_, .events = POLLIN, .revents = 0}};
    for (const auto& [descriptor, connection] : connections_) {
      const bool writes = connection.is_answering || !connection.output.empty();
      watched.push_back(
          {.fd = descriptor,
           .events = static_cast<short>(writes ? POLLIN | POLLOUT : POLLIN),
           .revents = 0});
    }
    if (poll(watched.data(), watched.size(), kPollMs) <= 0) {
      continue;
    }
    for (const auto& each : watched) {
      if (each.revents == 0) {
        continue;
      }
      if (each.fd == listener_) {
        const int accepted =
            accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
          connections_[accepted];
        }
        continue;
      }
      auto& connection = connections_[each.fd];
      const bool reads = (each.revents & (POLLIN | POLLHUP | POLLERR)) != 0;
      const bool is_open =
          (!reads || Read(each.fd, connection)) && Write(each.fd, connection);
      if (!is_open) {
        close(each.fd);
        connections_.erase(each.fd);
      }
    }
  }
}

auto UnrulyTarget::Read(int descriptor, Connection& connection) -> bool {
  std::string part(kReadBytes, '\0');
  const auto got = recv(descriptor, part.data(), part.size(), 0);
  if (got <= 0) {
    return got < 0 && errno == EAGAIN;
  }
  if (connection.is_answering) {
    return true;
  }
  connection.input.append(part, 0, static_cast<std::size_t>(got));
  if (connection.input.find("\r\n\r\n") != std::string::npos) {
    StartAnswer(connection);
    connection.input.clear();
  }
  return true;
}

auto UnrulyTarget::StartAnswer(Connection& connection) -> void {
  if (connection.input.starts_with("GET /health")) {
    connection.output += "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    return;
  }
  const auto id = FieldOf(connection.input, "X-Request-Id");
  connection.output += PrefixOf(
      part_, "X-Request-Id: " + id + "\r\nX-Gateway-Signature: " + name() +
                 "." + id + "\r\n");
  ++answered_;
  if (part_ == EndlessPart::kOnIdleConnection) {
    connection.starts_at = std::chrono::steady_clock::now() + kIdleTime;
  } else {
    connection.is_answering = true;
  }
}

auto UnrulyTarget::StartDue() -> void {
  const auto now = std::chrono::steady_clock::now();
  for (auto& [descriptor, connection] : connections_) {
    if (connection.starts_at && *connection.starts_at <= now) {
      connection.is_answering = true;
    }
  }
}

auto UnrulyTarget::Write(int descriptor, Connection& connection) -> bool {
  while (connection.is_answering || !connection.output.empty()) {
    if (connection.output.empty()) {
      connection.output = piece_;
    }
    const auto sent = send(descriptor, connection.output.data(),
                           connection.output.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return errno == EAGAIN;
    }
    sent_ += static_cast<std::uint64_t>(sent);
    connection.output.erase(0, static_cast<std::size_t>(sent));
    // Others have their turn.
    if (connection.is_answering && connection.output.empty()) {
      return true;
    }
  }
  return true;
}

}  // namespace flamingoyoke::integration
