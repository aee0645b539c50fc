// Tests the caller interface of the traffic task over loopback sockets.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

// Request smuggling: some parsers read one request here, others two. None may
// reach the upstream, and the connection must be closed.
Test(caller_interface, smuggling_cases_get_400_and_a_close) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  const std::string start = "POST /stock HTTP/1.1\r\nHost: h\r\n";
  const std::string hidden = "GET /stock/hidden HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const auto* framing :
       {"Content-Length: 5\r\nContent-Length: 50\r\n\r\n",
        "Content-Length: +5\r\n\r\nhello", "Content-Length : 5\r\n\r\nhello",
        "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        "Content-Length: 0\nX: y\r\n\r\n", "X: y\r\n Content-Length: 5\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n+0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n", "\n"}) {
    auto text = start;
    text.append(framing).append(hidden);
    auto caller = node.Connect();
    cr_assert(caller.Write(text));
    const auto answer = caller.ReadMessage();
    cr_assert(answer.has_value(), "no answer to: %s", text.c_str());
    cr_assert_eq(answer->status(), 400, "%s", text.c_str());
    cr_assert(answer->header("Flamingoyoke-Outcome") == "not-run");
    cr_assert(answer->header("Connection") == "close");
    cr_assert(caller.WaitForClose(), "the connection stays open");
  }
  cr_assert_eq(upstream.executions(), 0U);
}

// An invalid request that arrives byte by byte must be rejected at the first
// violation, even though evhttp still waits for more input.
Test(caller_interface, bad_bytes_are_refused_without_a_whole_request) {
  TrafficFixture node({MakeRow("stock", {})});
  auto caller = node.Connect();
  for (const char c : std::string("GET /stock HTTP/1.1\r\nHost: h\n")) {
    cr_assert(caller.Write(std::string_view(&c, 1)));
  }
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert_eq(answer->status(), 400);
  cr_assert(caller.WaitForClose());
}

// A valid request gets its response even if an invalid one follows it on the
// connection. The invalid one must not run.
Test(caller_interface, bad_request_behind_a_good_one) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  cr_assert(caller.Write(
      PostRequest("/stock", "good") +
      "POST /stock HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nbad"));
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert_eq(answer->body, std::string("good"));
  cr_assert(caller.WaitForClose());
  cr_assert_eq(upstream.executions(), 1U);
}

// Pipelined requests must get their responses in order.
Test(caller_interface, pipelined_requests_are_answered_in_order) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  std::string requests;
  for (int i = 0; i < 20; ++i) {
    requests += PostRequest("/stock", "body " + std::to_string(i));
  }
  cr_assert(caller.Write(requests));
  for (int i = 0; i < 20; ++i) {
    const auto answer = caller.ReadMessage();
    cr_assert(answer.has_value());
    cr_assert_eq(answer->body, "body " + std::to_string(i));
  }
}

// A body above the limit of the row must be refused by its Content-Length.
Test(caller_interface, body_above_the_row_is_refused) {
  UpstreamFake upstream(EchoScript());
  auto row = MakeRow("stock", {upstream.port()});
  row.max_body_bytes = 10;
  TrafficFixture node({row});
  const auto fits = node.Exchange(PostRequest("/stock", "0123456789"));
  cr_assert_eq(fits.status(), 200);
  auto caller = node.Connect();
  cr_assert(caller.Write(
      "POST /stock HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"));
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert_eq(answer->status(), 413);
  cr_assert(answer->header("Flamingoyoke-Outcome") == "not-run");
  cr_assert_eq(upstream.executions(), 1U);
}

// Bodies above the shared budget must be refused as not run, and the budget
// must be released when a caller disconnects.
Test(caller_interface, body_budget_is_bounded) {
  UpstreamFake upstream(EchoScript());
  auto config = MakeConfig();
  config.body_budget_bytes = 100;
  TrafficFixture node({MakeRow("stock", {upstream.port()})}, config);
  {
    auto holder = node.Connect();
    cr_assert(holder.Write(
        "POST /stock HTTP/1.1\r\nHost: h\r\nContent-Length: 60\r\n\r\nx"));
    // A refusal on this second connection shows that the first head was read.
    TestSocket::Message answer;
    do {
      answer = node.Exchange(PostRequest("/stock", std::string(60, 'x')));
    } while (answer.status() == 200);
    cr_assert_eq(answer.status(), 503);
    cr_assert(answer.header("Flamingoyoke-Error") == "body-budget-exhausted");
    cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run");
  }
  TestSocket::Message answer;
  do {
    answer = node.Exchange(PostRequest("/stock", std::string(60, 'x')));
  } while (answer.status() == 503);
  cr_assert_eq(answer.status(), 200);
}

// A request that never completes must be ended by the receive timeout.
Test(caller_interface, slow_request_gets_408) {
  auto config = MakeConfig();
  config.receive_timeout = std::chrono::milliseconds(50);
  TrafficFixture node({MakeRow("stock", {})}, config);
  auto caller = node.Connect();
  cr_assert(caller.Write("POST /stock HTTP/1.1\r\nHost: h\r\n"));
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert_eq(answer->status(), 408);
  cr_assert(answer->header("Flamingoyoke-Outcome") == "not-run");
  cr_assert(caller.WaitForClose());
}

// A connection without requests must be closed by the idle timeout.
Test(caller_interface, idle_connection_is_closed) {
  auto config = MakeConfig();
  config.caller_idle_timeout = std::chrono::milliseconds(50);
  TrafficFixture node({}, config);
  auto caller = node.Connect();
  cr_assert(caller.WaitForClose());
}

// A caller that does not read its response must be disconnected by the write
// timeout.
Test(caller_interface, caller_that_reads_nothing_is_closed) {
  std::promise<bool> ended;
  UpstreamFake upstream([&](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
    const std::string part(1 << 16, 'x');
    std::size_t written = 0;
    while (written < 1000000000 && socket.Write(part)) {
      written += part.size();
    }
    ended.set_value(written < 1000000000);
    return false;
  });
  auto config = MakeConfig();
  config.caller_write_timeout = std::chrono::milliseconds(100);
  TrafficFixture node({MakeRow("stock", {upstream.port()})}, config);
  auto caller = node.Connect();
  cr_assert(caller.Write(Get("/stock")));
  auto result = ended.get_future();
  cr_assert(result.wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
  cr_assert(result.get());
}

// Connections above the limit must be closed without affecting the others.
Test(caller_interface, connections_are_bounded) {
  UpstreamFake upstream(EchoScript());
  auto config = MakeConfig();
  config.caller_connections = 1;
  TrafficFixture node({MakeRow("stock", {upstream.port()})}, config);
  auto first = node.Connect();
  cr_assert(first.Write(Get("/stock")));
  cr_assert(first.ReadMessage().has_value());
  auto second = node.Connect();
  cr_assert(second.WaitForClose());
  cr_assert(first.Write(Get("/stock")));
  cr_assert(first.ReadMessage().has_value());
}

// Invalid values of reserved headers must be errors and not fall back to
// defaults.
Test(caller_interface, invalid_headers_are_refused) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  for (const auto* header :
       {"Flamingoyoke-Deadline-Ms: soon\r\n", "Flamingoyoke-Deadline-Ms: 0\r\n",
        "Flamingoyoke-Deadline-Ms: -5\r\n", "Flamingoyoke-Team:\r\n"}) {
    const auto answer = node.Exchange(Get("/stock", header));
    cr_assert_eq(answer.status(), 400, "%s", header);
    cr_assert(answer.header("Flamingoyoke-Error") == "invalid-header");
  }
  cr_assert_eq(upstream.executions(), 0U);
}

// Hop-by-hop and reserved headers must not be forwarded, and the trace must
// continue with a span of this VM.
Test(caller_interface, forwarded_headers) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  const auto answer = node.Exchange(
      Get("/stock",
          "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\nTE: trailers\r\n"
          "Flamingoyoke-Not-Run: 1\r\nFlamingoyoke-Deadline-Ms: 5000\r\n"
          "traceparent: 00-0123456789abcdef0123456789abcdef-"
          "0123456789abcdef-01\r\n"));
  cr_assert_eq(answer.status(), 200);
  const TestSocket::Message seen{upstream.request(0).head, "", true};
  cr_assert_not(seen.header("X-Hop"));
  cr_assert_not(seen.header("TE"));
  cr_assert_not(seen.header("Flamingoyoke-Not-Run"));
  cr_assert(seen.header("X-Kept") == "1");
  cr_assert(seen.header("Host") == "h");
  const auto deadline = std::stoi(*seen.header("Flamingoyoke-Deadline-Ms"));
  cr_assert(deadline > 0 && deadline <= 5000);
  const auto trace = *seen.header("traceparent");
  cr_assert_eq(trace.substr(0, 36), "00-0123456789abcdef0123456789abcdef-");
  cr_assert_neq(trace.substr(36, 16), "0123456789abcdef");
  cr_assert_eq(trace.substr(52), "-01");
}

// curl waits for status 100 before it sends a large body. The Expect header
// must not be forwarded to the upstream.
Test(caller_interface, expect_continue) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  cr_assert(
      caller.Write("POST /stock HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
                   "Content-Length: 4\r\n\r\n"));
  const auto interim = caller.ReadMessage(false);
  cr_assert(interim.has_value());
  cr_assert_eq(interim->status(), 100);
  cr_assert(caller.Write("body"));
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert_eq(answer->body, std::string("body"));
  const TestSocket::Message seen{upstream.request(0).head, "", true};
  cr_assert_not(seen.header("Expect"));
}

// A response to HEAD has no body, whatever its Content-Length is.
Test(caller_interface, head_request) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
  });
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  for (int i = 0; i < 2; ++i) {
    cr_assert(caller.Write("HEAD /stock HTTP/1.1\r\nHost: h\r\n\r\n"));
    const auto answer = caller.ReadMessage(false);
    cr_assert(answer.has_value());
    cr_assert_eq(answer->status(), 200);
    cr_assert(answer->header("Content-Length") == "10");
  }
  cr_assert(caller.Write("HEAD /other HTTP/1.1\r\nHost: h\r\n\r\n"));
  cr_assert_eq(caller.ReadMessage(false)->status(), 404);
  cr_assert(caller.Write(Get("/other")));
  cr_assert_eq(caller.ReadMessage()->status(), 404);
}

// Addresses and keys are the only endpoints below the reserved path prefix.
Test(caller_interface, addresses_and_keys) {
  TrafficFixture node({MakeRow("stock", {})});
  const auto addresses = node.Exchange(
      Get("/.flamingoyoke/addresses?service=stock&failure_domain=f1"));
  cr_assert_eq(addresses.status(), 200);
  cr_assert_neq(addresses.body.find(R"("service":"stock")"), std::string::npos);
  cr_assert_neq(addresses.body.find(R"("revision":1)"), std::string::npos);
  cr_assert_neq(addresses.body.find(R"("vm":"vm-a")"), std::string::npos);
  cr_assert_eq(node.GetKey("stock").find("vm-a-5-"), 0U);
  const auto unknown =
      node.Exchange(Get("/.flamingoyoke/addresses?service=none"));
  cr_assert(unknown.header("Flamingoyoke-Error") == "unknown-service");
  const auto other = node.Exchange(Get("/.flamingoyoke/x?service=stock"));
  cr_assert(other.header("Flamingoyoke-Error") == "no-route");
}

// A VM that is not ready must return no addresses. One that was ready before
// must keep serving requests.
Test(caller_interface, not_ready_until_the_view_is) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  // The fixture publishes a ready fleet view.
  cr_assert_eq(node.Exchange(Get("/stock")).status(), 200);
  node.view().ready = false;
  node.Publish();
  TestSocket::Message answer;
  do {
    answer = node.Exchange(Get("/.flamingoyoke/addresses?service=stock"));
  } while (answer.status() == 200);
  cr_assert_eq(answer.status(), 503);
  cr_assert(answer.header("Flamingoyoke-Error") == "not-ready");
  cr_assert_eq(node.Exchange(Get("/stock")).status(), 200);
}

}  // namespace
}  // namespace flamingoyoke
