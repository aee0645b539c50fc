#include "integration/soak/caller_connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>
#include <sstream>
#include <utility>

namespace flamingoyoke::integration {
namespace {

constexpr std::size_t kReadSize = 65'536;

// Parses the head of an answer. Status 0 means that it is none.
auto ParseHead(const std::string& head) -> standin::HttpAnswer {
  std::istringstream lines(head);
  standin::HttpAnswer answer;
  std::string version;
  lines >> version >> answer.status;
  if (version != "HTTP/1.1") {
    return {};
  }
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const auto colon = line.find(':');
    const auto start = line.find_first_not_of(' ', colon + 1);
    const auto end = line.find_last_not_of("\r ");
    if (colon != std::string::npos && start != std::string::npos) {
      answer.headers.push_back(
          {line.substr(0, colon), line.substr(start, end + 1 - start)});
    }
  }
  return answer;
}

// The body of an answer and where it ends in the input.
struct Body {
  std::string bytes;
  std::size_t end = 0;
};

auto ReadBytes(const std::string& input, std::size_t start, std::size_t size)
    -> std::optional<Body> {
  if (input.size() < start + size) {
    return std::nullopt;
  }
  return Body{input.substr(start, size), start + size};
}

// Returns a body in chunks without trailers; nullopt if it is not complete.
auto ReadChunks(const std::string& input, std::size_t start)
    -> std::optional<Body> {
  Body body{"", start};
  while (true) {
    const auto line = input.find("\r\n", body.end);
    if (line == std::string::npos) {
      return std::nullopt;
    }
    const auto size = std::strtoul(&input[body.end], nullptr, 16);
    const auto chunk = ReadBytes(input, line + 2, size);
    if (!chunk || input.size() < chunk->end + 2) {
      return std::nullopt;
    }
    body.bytes += chunk->bytes;
    body.end = chunk->end + 2;
    if (size == 0) {
      return body;
    }
  }
}

}  // namespace

CallerConnection::CallerConnection(EventLoop& loop,
                                   const NamedEndpoint& server,
                                   Events events)
    : events_(std::move(events)),
      stream_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
  bufferevent_setcb(stream_.get(), &OnReadable, &OnWritten, &OnEvent, this);
  bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.endpoint.port);
  inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  bufferevent_socket_connect(
      stream_.get(), reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

auto CallerConnection::Send(const std::string& bytes) -> void {
  bufferevent_write(stream_.get(), bytes.data(), bytes.size());
}

auto CallerConnection::ResetOnClose() -> void {
  const linger at_once{.l_onoff = 1, .l_linger = 0};
  setsockopt(bufferevent_getfd(stream_.get()), SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
}

auto CallerConnection::OnReadable(bufferevent* stream, void* self) -> void {
  auto& connection = *static_cast<CallerConnection*>(self);
  std::array<char, kReadSize> bytes{};
  while (const auto size = bufferevent_read(stream, bytes.data(), kReadSize)) {
    connection.input_.append(bytes.data(), size);
  }
  connection.PassAnswersOn();
}

auto CallerConnection::OnWritten(bufferevent* /*stream*/, void* self) -> void {
  static_cast<CallerConnection*>(self)->events_.on_sent();
}

auto CallerConnection::OnEvent(bufferevent* /*stream*/, short what, void* self)
    -> void {
  auto& connection = *static_cast<CallerConnection*>(self);
  if ((what & BEV_EVENT_EOF) != 0) {
    connection.is_input_complete_ = true;
    connection.PassAnswersOn();
  }
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
    connection.End();
  }
}

auto CallerConnection::PassAnswersOn() -> void {
  while (const auto answer = TakeAnswer()) {
    events_.on_answer(*answer);
  }
}

auto CallerConnection::End() -> void {
  if (!std::exchange(has_ended_, true)) {
    events_.on_end();
  }
}

auto CallerConnection::TakeAnswer() -> std::optional<standin::HttpAnswer> {
  const auto end = input_.find("\r\n\r\n");
  if (has_ended_ || end == std::string::npos) {
    return std::nullopt;
  }
  auto answer = ParseHead(input_.substr(0, end));
  if (answer.status == 0) {
    End();
    return std::nullopt;
  }
  const auto length = answer.Header("Content-Length");
  const auto body = answer.Header("Transfer-Encoding") == "chunked"
                        ? ReadChunks(input_, end + 4)
                    : length.empty()
                        ? ReadBytes(input_, end + 4, input_.size() - end - 4)
                        : ReadBytes(input_, end + 4, std::stoul(length));
  const bool ends_with_connection =
      length.empty() && answer.Header("Transfer-Encoding").empty();
  if (!body || (ends_with_connection && !is_input_complete_)) {
    return std::nullopt;
  }
  answer.body = body->bytes;
  input_.erase(0, body->end);
  return answer;
}

}  // namespace flamingoyoke::integration
