#include "standins/common/http_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <string>
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

}  // namespace flamingoyoke::standin
