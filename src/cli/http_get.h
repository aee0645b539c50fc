#ifndef FLAMINGOYOKE_CLI_HTTP_GET_H_
#define FLAMINGOYOKE_CLI_HTTP_GET_H_

#include <optional>
#include <string>

#include "core/endpoint.h"

namespace flamingoyoke {

// Status code and body of an HTTP response.
struct HttpResponse {
  int status = 0;
  std::string body;
};

// Sends a GET request for `target` (path and query) to `server` and blocks
// until the response is complete. Returns nullopt if there is no response
// within 5 s or its body exceeds 16 MB.
auto HttpGet(const NamedEndpoint& server, const std::string& target)
    -> std::optional<HttpResponse>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_HTTP_GET_H_
