#ifndef FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_EXCHANGE_H_
#define FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_EXCHANGE_H_

#include <event2/http.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace flamingoyoke::standin {

// One header line.
struct HttpHeader {
  std::string name;
  std::string value;
};

// HTTP answer of a stand-in.
struct HttpReply {
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
};

// A request that has not been answered yet. Must be destroyed before its
// server; the destructor answers 503 if no answer was sent. Used on the thread
// of its server only.
class HttpExchange {
 public:
  explicit HttpExchange(evhttp_request* request);

  [[nodiscard]] auto Method() const -> std::string;
  // Path without the query.
  [[nodiscard]] auto Path() const -> std::string;
  // Value of a query parameter, decoded.
  [[nodiscard]] auto Query(const char* name) const
      -> std::optional<std::string>;
  // Value of a query parameter as a number; `fallback` when it is absent or
  // not a number.
  [[nodiscard]] auto Number(const char* name, double fallback) const -> double;
  [[nodiscard]] auto Header(const char* name) const
      -> std::optional<std::string>;
  // Values of all headers with this name, in their order.
  [[nodiscard]] auto AllHeaders(const char* name) const
      -> std::vector<std::string>;
  [[nodiscard]] auto Body() const -> std::string;

  // Returns whether the caller has closed its connection.
  [[nodiscard]] auto IsAbandoned() const -> bool;

  // Sends the answer. Precondition: none was sent.
  auto Reply(const HttpReply& reply) -> void;

  // Closes the connection instead of answering. Precondition: no answer was
  // sent.
  auto Abort() -> void;

  // Resets the connection instead of answering. Precondition: no answer was
  // sent.
  auto Reset() -> void;

  // Sends `bytes` at once, without completing the exchange. Precondition: no
  // answer was sent.
  auto SendBytes(const std::string& bytes) -> void;

  // Completes the exchange without sending an answer, for a request that was
  // answered by HttpServer::SetEarlyAnswer. Precondition: no answer was sent.
  auto Complete() -> void;

  // Closes the connection once it has been idle for `timeout`. Precondition: no
  // answer was sent.
  auto SetIdleTimeout(Duration timeout) -> void;

 private:
  struct UnansweredDeleter {
    auto operator()(evhttp_request* request) const -> void;
  };

  std::unique_ptr<evhttp_request, UnansweredDeleter> request_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_COMMON_HTTP_EXCHANGE_H_
