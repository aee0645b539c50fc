#include "node/traffic/traffic_task.h"

#include <criterion/criterion.h>
#include <poll.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "runtime/clock.h"
#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

// Requests on one connection are forwarded to the upstream, and the responses
// are relayed.
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

// Requests for unknown paths must be refused as not run, with or without a
// body.
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

// Waits for a report with at least `answered` answered requests.
auto WaitForReport(TrafficFixture& node, std::uint64_t answered)
    -> std::optional<ServiceReport> {
  const auto limit = Now() + std::chrono::seconds(20);
  auto& mailbox = node.mailboxes().admin;
  while (Now() < limit) {
    pollfd waiting{mailbox.descriptor(), POLLIN, 0};
    poll(&waiting, 1, 1000);
    for (auto& message : mailbox.TakeAll()) {
      const auto* reported = std::get_if<TrafficReported>(&message);
      if (reported != nullptr && !reported->services.empty() &&
          reported->services[0].answered >= answered) {
        return reported->services[0];
      }
    }
  }
  return std::nullopt;
}

// The admin task must get a report with the counters of each service, and the
// telemetry task the same values with the service as the only label.
Test(traffic_task, reports_and_metrics) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  for (int i = 0; i < 3; ++i) {
    node.Exchange(Get("/stock"));
  }
  const auto report = WaitForReport(node, 3);
  cr_assert(report.has_value());
  cr_assert_eq(report->service, ServiceId("stock"));
  cr_assert_eq(report->revision, Revision(1));
  cr_assert_eq(report->answered, 3U);
  cr_assert_eq(report->targets.size(), 1U);
  bool found = false;
  for (auto& message : node.mailboxes().telemetry.TakeAll()) {
    const auto* metrics = std::get_if<MetricsReported>(&message);
    if (metrics == nullptr) {
      continue;
    }
    for (const auto& sample : metrics->samples) {
      cr_assert(sample.label_name.empty() || sample.label_name == "service");
      found = found || (sample.name == "flamingoyoke_requests_answered_total" &&
                        sample.label_value == "stock" && sample.value == 3);
    }
  }
  cr_assert(found);
}

// Guards against a tick that each request on an idle node postpones. While
// requests arrived one at a time, reports, ownership updates and pause
// detection stopped.
Test(traffic_task, reports_while_requests_come_one_by_one) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  const auto limit = Now() + std::chrono::seconds(20);
  bool is_reported = false;
  while (!is_reported && Now() < limit) {
    node.Exchange(Get("/stock"));
    for (auto& message : node.mailboxes().admin.TakeAll()) {
      const auto* reported = std::get_if<TrafficReported>(&message);
      is_reported =
          is_reported || (reported != nullptr && !reported->services.empty() &&
                          reported->services.front().answered > 0);
    }
  }
  cr_assert(is_reported);
}

// A sampled request must produce the spans request, queue and attempt in the
// caller's trace.
Test(traffic_task, spans_of_a_sampled_request) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  const std::string trace(32, 'a');
  node.Exchange(
      Get("/stock", "traceparent: 00-" + trace + "-bbbbbbbbbbbbbbbb-01\r\n"));
  cr_assert(WaitForReport(node, 1).has_value());
  std::map<std::string, SpanFinished> spans;
  for (auto& message : node.mailboxes().telemetry.TakeAll()) {
    if (auto* span = std::get_if<SpanFinished>(&message)) {
      spans[span->name] = *span;
    }
  }
  cr_assert_eq(spans.size(), 3U);
  for (const auto& [name, span] : spans) {
    cr_assert_eq(span.trace_id, trace, "%s", name.c_str());
  }
  const auto& request = spans["request"];
  cr_assert_eq(request.parent_span_id, std::string(16, 'b'));
  cr_assert_eq(spans["queue"].parent_span_id, request.span_id);
  cr_assert_eq(spans["attempt"].parent_span_id, request.span_id);
}

}  // namespace
}  // namespace flamingoyoke
