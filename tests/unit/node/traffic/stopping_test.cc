// Tests graceful and hard stops of the traffic task.
#include <criterion/criterion.h>

#include <string>

#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

// A graceful stop must complete the requests in flight and those that arrive
// while callers may have the address cached.
Test(stopping, graceful_stop_finishes_requests_in_flight) {
  UpstreamFake* self = nullptr;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        if (request.body == "first") {
          self->WaitForRelease();
        }
        return EchoScript()(request, socket);
      });
  self = &upstream;
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  cr_assert(caller.Write(PostRequest("/stock", "first")));
  cr_assert(upstream.WaitForExecutions(1));
  node.Stop(StopMode::kGraceful);
  TestSocket::Message second;
  do {
    second = node.Exchange(PostRequest("/stock", "second"));
    cr_assert_eq(second.status(), 200);
  } while (second.header("Connection") != "close");
  cr_assert(node.IsRunning());
  upstream.Release();
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert(answer->whole);
  cr_assert_eq(answer->body, std::string("first"));
  cr_assert(answer->header("Connection") == "close");
  cr_assert(node.WaitForExit());
}

// A graceful stop must also complete requests that were received in part.
Test(stopping, graceful_stop_waits_for_a_request_being_received) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  const auto request = PostRequest("/stock", "body");
  cr_assert(caller.Write(request.substr(0, 20)));
  // The response on another connection shows that the bytes above were read.
  cr_assert_eq(node.Exchange(Get("/stock")).status(), 200);
  node.Stop(StopMode::kGraceful);
  cr_assert(caller.Write(request.substr(20)));
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert_eq(answer->body, std::string("body"));
  cr_assert(node.WaitForExit());
}

// Guards against closing the connection of a caller that connected before idle
// connections were closed and whose first request is on the way.
Test(stopping, answers_the_first_request_of_a_new_connection) {
  UpstreamFake* self = nullptr;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        if (request.body == "first") {
          self->WaitForRelease();
        }
        return EchoScript()(request, socket);
      });
  self = &upstream;
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  cr_assert(caller.Write(PostRequest("/stock", "first")));
  cr_assert(upstream.WaitForExecutions(1));
  auto late = node.Connect();
  node.Stop(StopMode::kGraceful);
  TestSocket::Message answer;
  do {
    answer = node.Exchange(Get("/stock"));
  } while (answer.header("Connection") != "close");
  // The timer that closes idle connections has expired by now.
  node.Exchange(Get("/stock"));
  cr_assert(late.Write(PostRequest("/stock", "late")));
  const auto response = late.ReadMessage();
  cr_assert(response.has_value());
  cr_assert_eq(response->body, std::string("late"));
  upstream.Release();
  cr_assert(caller.ReadMessage().has_value());
  cr_assert(node.WaitForExit());
}

// An idle node must exit when the cached addresses have expired, and close idle
// connections.
Test(stopping, idle_node_exits) {
  TrafficFixture node({});
  auto idle = node.Connect();
  node.Stop(StopMode::kGraceful);
  cr_assert(node.WaitForExit());
  cr_assert(idle.WaitForClose());
}

// A VM that is stopping must not issue keys.
Test(stopping, leaving_vm_issues_no_keys) {
  auto config = MakeConfig();
  config.drain_margin = std::chrono::seconds(30);
  TrafficFixture node({MakeRow("orders", {})}, config);
  node.GetKey("orders");
  node.Stop(StopMode::kGraceful);
  TestSocket::Message answer;
  do {
    answer = node.Exchange(
        "POST /.flamingoyoke/keys?service=orders HTTP/1.1\r\nHost: h\r\n"
        "Content-Length: 0\r\n\r\n");
  } while (answer.status() == 200);
  cr_assert(answer.header("Flamingoyoke-Error") == "leaving");
}

// A hard stop must report requests that were written as unknown and queued ones
// as not run.
Test(stopping, hard_stop_answers_truthfully) {
  UpstreamFake* self = nullptr;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        self->WaitForRelease();
        return EchoScript()(request, socket);
      });
  self = &upstream;
  auto row = MakeRow("orders", {upstream.port()});
  row.slots = 1;
  row.repeatable = false;
  row.key_policy = KeyPolicy::kOptional;
  TrafficFixture node({row});
  auto written = node.Connect();
  cr_assert(written.Write(PostRequest("/orders", "written")));
  cr_assert(upstream.WaitForExecutions(1));
  auto queued = node.Connect();
  cr_assert(queued.Write(PostRequest("/orders", "queued")));
  // This response shows that the node has read the request sent before.
  cr_assert_eq(node.Exchange(Get("/other")).status(), 404);
  node.Stop(StopMode::kHard);
  const auto unknown = written.ReadMessage();
  cr_assert(unknown.has_value());
  cr_assert(unknown->header("Flamingoyoke-Error") == "hard-stop-in-flight");
  cr_assert(unknown->header("Flamingoyoke-Outcome") == "unknown");
  const auto not_run = queued.ReadMessage();
  cr_assert(not_run.has_value());
  cr_assert(not_run->header("Flamingoyoke-Error") == "hard-stop-queued");
  cr_assert(not_run->header("Flamingoyoke-Outcome") == "not-run");
  cr_assert(node.WaitForExit());
  cr_assert_eq(upstream.executions(), 1U);
}

// Guards against work that is passed on late in a graceful stop and cut off at
// the hard limit.
Test(stopping, takes_no_request_that_may_outlast_the_stop) {
  UpstreamFake* self = nullptr;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        self->WaitForRelease();
        return EchoScript()(request, socket);
      });
  self = &upstream;
  auto config = MakeConfig();
  config.drain_margin = std::chrono::seconds(30);
  config.shutdown_hard_limit = std::chrono::seconds(2);
  TrafficFixture node({MakeRow("stock", {upstream.port()})}, config);
  node.Stop(StopMode::kGraceful);
  TestSocket::Message answer;
  do {
    answer = node.Exchange(Get("/none"));
  } while (answer.header("Connection") != "close");
  answer = node.Exchange(PostRequest("/stock", "late"));
  cr_assert_eq(answer.status(), 503);
  cr_assert(answer.header("Flamingoyoke-Error") == "leaving");
  cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run");
  cr_assert(node.WaitForExit());
  cr_assert_eq(upstream.executions(), 0U);
}

// A graceful stop that waits for a request must end at the hard limit.
Test(stopping, hard_limit_ends_a_graceful_stop) {
  UpstreamFake* self = nullptr;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        self->WaitForRelease();
        return EchoScript()(request, socket);
      });
  self = &upstream;
  auto config = MakeConfig();
  config.shutdown_hard_limit = std::chrono::milliseconds(100);
  TrafficFixture node({MakeRow("stock", {upstream.port()})}, config);
  auto caller = node.Connect();
  cr_assert(caller.Write(PostRequest("/stock", "a")));
  cr_assert(upstream.WaitForExecutions(1));
  node.Stop(StopMode::kGraceful);
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert(answer->header("Flamingoyoke-Outcome") == "unknown");
  cr_assert(node.WaitForExit());
}

}  // namespace
}  // namespace flamingoyoke
