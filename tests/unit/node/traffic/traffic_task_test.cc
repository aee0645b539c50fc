#include "node/traffic/traffic_task.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

// The thin path: caller to vm to upstream and back, on one connection.
Test(traffic_task, relays_request_and_answer) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  for (int i = 0; i < 3; ++i) {
    const auto body = "body " + std::to_string(i);
    cr_assert(
        caller.Write(PostRequest("/stock/a?b=c", body, "X-Caller: 1\r\n")));
    const auto answer = caller.ReadMessage();
    cr_assert(answer.has_value());
    cr_assert_eq(answer->status(), 200);
    cr_assert_eq(answer->body, body);
    cr_assert(answer->header("Flamingoyoke-Outcome") == "run");
    cr_assert(answer->header("X-Own") == "1");
  }
  const auto head = upstream.request(0).head;
  cr_assert_eq(head.find("POST /stock/a?b=c HTTP/1.1"), 0U);
  cr_assert_neq(head.find("X-Caller: 1"), std::string::npos);
  cr_assert_neq(head.find("Flamingoyoke-Deadline-Ms: "), std::string::npos);
  cr_assert_neq(head.find("traceparent: 00-"), std::string::npos);
}

// Before a table is known and for unknown paths, nothing runs.
Test(traffic_task, unknown_path_is_not_run) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  const auto answer = node.Exchange(Get("/other"));
  cr_assert_eq(answer.status(), 404);
  cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run");
  cr_assert(answer.header("Flamingoyoke-Error") == "no-route");
  const auto with_body = node.Exchange(PostRequest("/other", "x"));
  cr_assert_eq(with_body.status(), 404);
  cr_assert_eq(upstream.executions(), 0U);
}

}  // namespace
}  // namespace flamingoyoke
