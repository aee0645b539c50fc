#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_BLOCKING_HTTP_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_BLOCKING_HTTP_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "runtime/event_loop.h"
#include "standins/common/http_client.h"

namespace flamingoyoke::integration {

using standin::HttpAnswer;
using standin::HttpCall;
using standin::HttpHeader;

// Returns the endpoint of `port` on the loopback address.
auto Loopback(int port) -> NamedEndpoint;

// Sends requests and waits for the answers. Not thread-safe.
class BlockingHttp {
 public:
  BlockingHttp();

  // Sends `call` on a new or kept connection and waits for the answer.
  auto Send(const HttpCall& call) -> HttpAnswer;

  // Starts `call` without waiting. The answer becomes the next element that
  // WaitForAll returns.
  auto StartCall(const HttpCall& call) -> void;
  // Waits for the answers to all started calls and returns them in the order of
  // StartCall.
  auto WaitForAll() -> std::vector<HttpAnswer>;
  // Runs the event loop for `time`, so that calls in flight make progress.
  auto RunFor(Duration time) -> void;

  auto Get(int port, const std::string& target) -> HttpAnswer;
  auto Put(int port, const std::string& target, const std::string& body = "")
      -> HttpAnswer;

 private:
  EventLoop loop_;
  standin::HttpClient client_;
  EventLoop::Handle run_timer_;
  std::vector<HttpAnswer> answers_;
  std::size_t pending_ = 0;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_BLOCKING_HTTP_H_
