#ifndef FLAMINGOYOKE_NODE_TRAFFIC_HTTP_MESSAGE_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_HTTP_MESSAGE_H_

#include <event2/buffer.h>
#include <event2/http.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flamingoyoke {

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Request line and headers of a request.
struct RequestHead {
  std::string method;
  std::string target;
  HttpHeaders headers;
};

// Status line and headers of a response.
struct ResponseHead {
  int status = 0;
  std::string reason;
  HttpHeaders headers;
};

struct EvbufferDeleter {
  auto operator()(evbuffer* buffer) const -> void { evbuffer_free(buffer); }
};
using EvbufferPtr = std::unique_ptr<evbuffer, EvbufferDeleter>;

// Returns an empty buffer. Throws std::bad_alloc.
auto MakeEvbuffer() -> EvbufferPtr;

// Returns the first value of header `name`, compared case-insensitively.
auto FindHeader(const HttpHeaders& headers, std::string_view name)
    -> std::optional<std::string_view>;

// Copies the headers of an evhttp message.
auto CopyHeaders(const evkeyvalq* headers) -> HttpHeaders;

// Returns evhttp's command for a method that RequestScanner accepts; GET for
// others.
auto ToCommand(std::string_view method) -> evhttp_cmd_type;

// Returns the method name, or an empty string for an unknown command.
auto ToMethod(evhttp_cmd_type command) -> std::string_view;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_HTTP_MESSAGE_H_
