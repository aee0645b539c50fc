// Tests graceful stops of the gateway task.
#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(gateway_stopping, .timeout = 120);

constexpr const char* kSuccess = "200 OK\r\nId: req-1\r\nSigned: x";

// Callers may still have the address cached when the hard limit passes.
auto MakeStoppingConfig() -> GatewayConfig {
  auto config = MakeGatewayConfig();
  config.traffic.drain_margin = std::chrono::seconds(30);
  config.traffic.shutdown_hard_limit = std::chrono::seconds(2);
  return config;
}

}  // namespace

// Guards against once-only work that is passed on late in a stop and cut off at
// its end without the target's answer.
Test(gateway_stopping, takes_no_request_that_may_outlast_the_stop) {
  UpstreamFake* self = nullptr;
  UpstreamFake upstream([&](const UpstreamFake::Request&, TestSocket& socket) {
    self->WaitForRelease();
    return socket.Write(Answer(kSuccess, "done"));
  });
  self = &upstream;
  GatewayFixture gateway({upstream.port()}, MakeStoppingConfig());
  gateway.Stop(StopMode::kGraceful);
  TestSocket::Message answer;
  do {
    answer = gateway.Exchange("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
  } while (answer.status() == 200);
  answer = gateway.Exchange(Request("POST", "/once/1", "order"));
  cr_assert_eq(answer.status(), 503);
  cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run");
  cr_assert(answer.header("Connection") == "close");
  cr_assert(gateway.WaitForExit());
  cr_assert_eq(upstream.executions(), 0U);
}

// Guards against refusing callers with a cached address whose requests end long
// before the process does.
Test(gateway_stopping, serves_requests_that_end_before_the_stop) {
  UpstreamFake upstream(Always(Answer(kSuccess, "done")));
  GatewayFixture gateway({upstream.port()}, MakeStoppingConfig());
  gateway.Stop(StopMode::kGraceful);
  const auto answer =
      gateway.Exchange(Request("POST", "/once/1", "order", "req-1", "500"));
  cr_assert_eq(answer.status(), 200);
  cr_assert(gateway.WaitForExit());
}

}  // namespace flamingoyoke
