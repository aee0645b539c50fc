#ifndef FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_SERVER_H_
#define FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_SERVER_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "core/result.h"
#include "runtime/event_loop.h"
#include "standins/common/http_exchange.h"

namespace flamingoyoke::standin {

// An HTTP server on the loopback address. Used on the thread of its loop only.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;
  // Returns the bytes that answer the request with `head` while its body is
  // incomplete; nullopt to wait for the body.
  using EarlyAnswer =
      std::function<std::optional<std::string>(const std::string& head)>;

  // `loop` must outlive the server.
  HttpServer(EventLoop& loop, Handler handler);

  // Binds `port`, or a free port when it is 0, and returns the bound port.
  // Fails with kSocketFailed.
  auto Bind(std::uint16_t port) -> Result<std::uint16_t>;

  // Answers requests whose body is incomplete when their head arrives. Their
  // exchange, which follows with the end of the body, must be completed.
  // Precondition: no connection was accepted.
  auto SetEarlyAnswer(EarlyAnswer answer) -> void;

 private:
  struct Stream {
    HttpServer& server;
    bufferevent* buffer;
  };
  struct HttpDeleter {
    auto operator()(evhttp* http) const -> void { evhttp_free(http); }
  };

  static auto OnRequest(evhttp_request* request, void* self) -> void;
  static auto MakeStream(event_base* base, void* self) -> bufferevent*;
  static auto OnInput(evbuffer* input, const evbuffer_cb_info* info, void* self)
      -> void;

  Handler handler_;
  EarlyAnswer early_answer_;
  // Arguments of callbacks, which outlive their connections.
  std::list<Stream> streams_;
  std::unique_ptr<evhttp, HttpDeleter> http_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_SERVER_H_
