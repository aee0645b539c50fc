#include "cli/http_get.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <memory>

#include "runtime/event_loop.h"

namespace flamingoyoke {
namespace {

constexpr int kTimeoutS = 5;
constexpr ev_ssize_t kMaxBodyBytes = 16'000'000;

struct ConnectionDeleter {
  auto operator()(evhttp_connection* connection) const -> void {
    evhttp_connection_free(connection);
  }
};

// State of a request until its response arrives.
struct PendingRequest {
  EventLoop loop;
  std::optional<HttpResponse> response;
};

auto OnDone(evhttp_request* request, void* argument) -> void {
  auto& pending = *static_cast<PendingRequest*>(argument);
  pending.loop.Quit();
  if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
    return;
  }
  auto* buffer = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  pending.response =
      HttpResponse{evhttp_request_get_response_code(request), std::move(body)};
}

}  // namespace

auto HttpGet(const NamedEndpoint& server, const std::string& target)
    -> std::optional<HttpResponse> {
  PendingRequest pending;
  const std::unique_ptr<evhttp_connection, ConnectionDeleter> connection(
      evhttp_connection_base_new(pending.loop.base(), nullptr,
                                 server.host.c_str(), server.endpoint.port));
  evhttp_connection_set_timeout(connection.get(), kTimeoutS);
  evhttp_connection_set_max_body_size(connection.get(), kMaxBodyBytes);
  auto* request = evhttp_request_new(&OnDone, &pending);
  auto* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", server.text.c_str());
  evhttp_add_header(headers, "Connection", "close");
  if (evhttp_make_request(connection.get(), request, EVHTTP_REQ_GET,
                          target.c_str()) != 0) {
    return std::nullopt;
  }
  pending.loop.Run();
  return pending.response;
}

}  // namespace flamingoyoke
