#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_CROWD_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_CROWD_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"

namespace flamingoyoke::integration {

// Connections that send fixed bytes, never read answers and stay open until the
// crowd is destroyed. Not thread-safe.
class Crowd {
 public:
  Crowd() = default;
  ~Crowd();
  Crowd(const Crowd&) = delete;
  auto operator=(const Crowd&) -> Crowd& = delete;

  // Opens `connections` to `server` that each will send `bytes`. The buffers
  // for their answers are small.
  auto Add(const NamedEndpoint& server,
           std::size_t connections,
           std::string bytes) -> void;

  // Sends until every connection has sent its bytes or was closed, or none
  // makes progress for 2 s. Each sends `burst` bytes at most, if it is not 0.
  auto Send(std::size_t burst = 0) -> void;

  // Reads the answer of the first connection and returns its status, or 0 if it
  // was closed or didn't answer within 20 s.
  auto ReadStatus() -> int;

 private:
  struct Connection {
    int descriptor;
    std::shared_ptr<const std::string> bytes;
    std::size_t sent = 0;
    // Where sending stops.
    std::size_t limit = 0;
    bool is_closed = false;
  };

  std::vector<Connection> connections_;
};

// The requests of a crowd. `path` may be any path of the server.

// Returns a head without its last line end.
auto OpenHead(const std::string& method,
              const std::string& host,
              const std::string& path) -> std::string;
// Returns a request with a body of `size` bytes of which all but `missing` are
// sent.
auto WholeBody(const std::string& head, std::size_t size, std::size_t missing)
    -> std::string;
// The same in chunks of `chunk` bytes. Without `missing`, the last chunk is
// sent too.
auto ChunkedBody(const std::string& head,
                 std::size_t size,
                 std::size_t chunk,
                 std::size_t missing) -> std::string;
// Returns `count` copies of `text`.
auto Repeat(const std::string& text, std::size_t count) -> std::string;

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_CROWD_H_
