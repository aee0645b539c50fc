#ifndef FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_CLIENT_H_
#define FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_CLIENT_H_

#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/time.h"
#include "runtime/event_loop.h"
#include "standins/common/http_exchange.h"

namespace flamingoyoke::standin {

// A request to send.
struct HttpCall {
  NamedEndpoint server;
  std::string method = "GET";
  // Path with query.
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(30);
};

// An answer. Status 0 means that no complete answer arrived: the connection
// failed, was closed early or timed out.
struct HttpAnswer {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  // Value of the first header `name`, ignoring case; empty when absent.
  [[nodiscard]] auto Header(const std::string& name) const -> std::string;
};

// Sends requests over persistent connections, one request at a time on each.
// Used on the thread of its loop only.
class HttpClient {
 public:
  using Callback = std::function<void(HttpAnswer)>;

  // `loop` must outlive the client.
  explicit HttpClient(EventLoop& loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  // Sends `call` and passes the answer to `callback` once, unless the client
  // is destroyed first.
  auto Send(const HttpCall& call, Callback callback) -> void;

 private:
  struct ConnectionDeleter {
    auto operator()(evhttp_connection* connection) const -> void {
      evhttp_connection_free(connection);
    }
  };
  using Connection = std::unique_ptr<evhttp_connection, ConnectionDeleter>;
  // A request in flight.
  struct Pending;

  static auto OnDone(evhttp_request* request, void* pending) -> void;

  auto TakeConnection(const NamedEndpoint& server) -> Connection;
  auto Finish(Pending* pending, evhttp_request* request) -> void;

  EventLoop& loop_;
  std::map<Endpoint, std::vector<Connection>> idle_;
  std::map<Pending*, std::unique_ptr<Pending>> pending_;
  // Connections that failed or are to be closed. Freed by a timer, as they must
  // not be freed inside their own callbacks.
  std::vector<Connection> closing_connections_;
  EventLoop::Handle free_timer_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_CLIENT_H_
