#include "standins/common/http_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

namespace flamingoyoke::standin {
namespace {

// Long enough that a stand-in never closes an idle connection during a test.
constexpr int kIdleTimeoutS = 3600;
// Above the largest body of the example tables.
constexpr ev_ssize_t kMaxBodyBytes = 64'000'000;

auto BoundPort(evhttp_bound_socket* socket) -> std::uint16_t {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(socket),
              reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace

HttpServer::HttpServer(EventLoop& loop, Handler handler)
    : handler_(std::move(handler)), http_(evhttp_new(loop.base())) {
  evhttp_set_gencb(http_.get(), &OnRequest, this);
  evhttp_set_timeout(http_.get(), kIdleTimeoutS);
  evhttp_set_max_body_size(http_.get(), kMaxBodyBytes);
}

auto HttpServer::Bind(std::uint16_t port) -> Result<std::uint16_t> {
  auto* socket = evhttp_bind_socket_with_handle(http_.get(), "127.0.0.1", port);
  if (socket == nullptr) {
    return Fail(ErrorKind::kSocketFailed,
                "cannot listen on 127.0.0.1:" + std::to_string(port));
  }
  return BoundPort(socket);
}

auto HttpServer::OnRequest(evhttp_request* request, void* self) -> void {
  static_cast<HttpServer*>(self)->handler_(HttpExchange(request));
}

auto HttpServer::SetEarlyAnswer(EarlyAnswer answer) -> void {
  early_answer_ = std::move(answer);
  evhttp_set_bevcb(http_.get(), &MakeStream, this);
}

auto HttpServer::MakeStream(event_base* base, void* self) -> bufferevent* {
  auto* buffer = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  auto& server = *static_cast<HttpServer*>(self);
  auto& stream = server.streams_.emplace_back(Stream{server, buffer});
  evbuffer_add_cb(bufferevent_get_input(buffer), &OnInput, &stream);
  return buffer;
}

auto HttpServer::OnInput(evbuffer* input,
                         const evbuffer_cb_info* info,
                         void* self) -> void {
  // evhttp leaves a body in the buffer until it is complete, so that only the
  // first bytes of a request follow an empty buffer.
  if (info->n_added == 0 || info->orig_size > 0) {
    return;
  }
  std::string bytes(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, bytes.data(), bytes.size());
  constexpr std::string_view kLength = "\r\nContent-Length: ";
  const auto end = bytes.find("\r\n\r\n");
  const auto length = bytes.find(kLength);
  if (end == std::string::npos || length > end ||
      bytes.size() - end - 4 >=
          std::strtoul(&bytes[length + kLength.size()], nullptr, 10)) {
    return;
  }
  const auto& stream = *static_cast<Stream*>(self);
  const auto answer = stream.server.early_answer_(bytes.substr(0, end + 2));
  if (answer) {
    send(bufferevent_getfd(stream.buffer), answer->data(), answer->size(),
         MSG_NOSIGNAL);
  }
}

}  // namespace flamingoyoke::standin
