#ifndef FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_SERVER_H_
#define FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_SERVER_H_

#include <event2/http.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "core/result.h"
#include "runtime/event_loop.h"
#include "standins/common/http_exchange.h"

namespace flamingoyoke::standin {

// An HTTP server on the loopback address. Used on the thread of its loop only.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;

  // `loop` must outlive the server.
  HttpServer(EventLoop& loop, Handler handler);

  // Binds `port`, or a free port when it is 0, and returns the bound port.
  // Fails with kSocketFailed.
  auto Bind(std::uint16_t port) -> Result<std::uint16_t>;

 private:
  struct HttpDeleter {
    auto operator()(evhttp* http) const -> void { evhttp_free(http); }
  };

  static auto OnRequest(evhttp_request* request, void* self) -> void;

  Handler handler_;
  std::unique_ptr<evhttp, HttpDeleter> http_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_SERVER_H_
