// Tests graceful stops of the gateway task.
#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

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

// Guards against answers that are cut off by a reset: a closing connection that
// still gets a pipelined request must not discard what the caller has not read
// yet.
Test(gateway_stopping, a_late_pipelined_request_cuts_off_no_answer) {
  const std::string body(60'000, 'x');
  UpstreamFake upstream(Always(Answer(kSuccess, body)));
  GatewayFixture gateway({upstream.port()}, MakeStoppingConfig());
  auto caller = gateway.Connect(4096);
  cr_assert(caller.Write(Request("GET", "/repeatable/1")));
  cr_assert(caller.ReadMessage()->whole);
  gateway.Stop(StopMode::kGraceful);
  TestSocket::Message status;
  do {
    status = gateway.Exchange("GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
  } while (status.status() == 200);
  cr_assert(caller.Write(Request("GET", "/repeatable/2", "", "req-1", "1500")));
  cr_assert(upstream.WaitForExecutions(2));
  // The answer is in the buffers of the kernel by then, and most of it unread.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  cr_assert(caller.Write(Request("GET", "/repeatable/3")));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert(answer->whole, "%zu of %zu bytes", answer->body.size(),
            body.size());
  cr_assert(answer->header("Connection") == "close");
  cr_assert_not(caller.ReadMessage().has_value());
  cr_assert_eq(upstream.executions(), 2U);
  caller.Close();
  cr_assert(gateway.WaitForExit());
}

}  // namespace flamingoyoke
