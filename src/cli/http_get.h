#ifndef FLAMINGOYOKE_CLI_HTTP_GET_H_
#define FLAMINGOYOKE_CLI_HTTP_GET_H_

#include <optional>
#include <string>

#include "core/endpoint.h"

namespace flamingoyoke {

// The answer of a vm.
struct FetchedPage {
  int status = 0;
  std::string body;
};

// Fetches `target` (path and query) from `server` and waits for the whole
// answer, for at most 5 s and 16 MB. Returns nothing if none arrived.
auto HttpGet(const NamedEndpoint& server, const std::string& target)
    -> std::optional<FetchedPage>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_HTTP_GET_H_
