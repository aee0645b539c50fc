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

// Head of a request in the terms of HTTP.
struct RequestHead {
  std::string method;
  std::string target;
  HttpHeaders headers;
};

// Head of an answer in the terms of HTTP.
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

// Returns the first value of header `name`, whatever its case.
auto FindHeader(const HttpHeaders& headers, std::string_view name)
    -> std::optional<std::string_view>;

// Copies the headers of an evhttp message.
auto CopyHeaders(const evkeyvalq* headers) -> HttpHeaders;

// Returns evhttp's command for a method that the scanner accepts.
auto ToCommand(std::string_view method) -> evhttp_cmd_type;

// Returns the method's name, or an empty text for an unknown command.
auto ToMethod(evhttp_cmd_type command) -> std::string_view;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_HTTP_MESSAGE_H_
