// Tests of the gateway with targets that run a request and answer it with a
// status that promises that it has not run, over loopback sockets.
#include <criterion/criterion.h>

#include <array>
#include <string>

#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(false_refusal, .timeout = 120);

constexpr std::array<const char*, 3> kPromises = {
    "503 Unavailable", "429 Too Many Requests", "408 Request Timeout"};
// More than the gateway keeps of an answer before it relays it.
constexpr std::size_t kLongAnswer = 300 << 10;

auto HeadOf(const char* status) -> std::string {
  return std::string(status) + "\r\nId: req-1\r\nSigned: x";
}

// Checks that `answer` makes no promise and is none of a target.
auto ExpectUnknown(const TestSocket::Message& answer, const char* status)
    -> void {
  cr_expect_eq(answer.status(), 502, "%s: %d", status, answer.status());
  cr_expect(answer.header("Flamingoyoke-Outcome") == "unknown", "%s", status);
  cr_expect_not(answer.header("Signed").has_value(), "%s", status);
}

}  // namespace

// Guards against an order that is booked twice: it ran, and its answer promises
// that it did not.
Test(false_refusal, an_order_that_ran_gets_no_promise) {
  for (const auto* status : kPromises) {
    UpstreamFake upstream(Always(Answer(HeadOf(status), "failed")));
    GatewayFixture gateway({upstream.port()});
    ExpectUnknown(gateway.Exchange(Request("POST", "/once/1", "order")),
                  status);
    cr_assert_eq(upstream.executions(), 1U);
  }
}

// Guards against the same by answers that are relayed before their end, with a
// length, in chunks or ended by the close of the connection.
Test(false_refusal, a_long_answer_makes_no_promise) {
  const std::string body(kLongAnswer, 'x');
  for (const auto* status : kPromises) {
    const auto head = "HTTP/1.1 " + HeadOf(status) + "\r\n";
    auto chunked = head;
    chunked.append("Transfer-Encoding: chunked\r\n\r\n4b000\r\n")
        .append(body)
        .append("\r\n0\r\n\r\n");
    auto ended_by_close = head;
    ended_by_close.append("\r\n").append(body);
    const std::array<std::string, 3> answers = {Answer(HeadOf(status), body),
                                                chunked, ended_by_close};
    for (const auto& bytes : answers) {
      const bool ends_by_close = &bytes == &answers.back();
      UpstreamFake upstream(
          [&](const UpstreamFake::Request&, TestSocket& socket) {
            return socket.Write(bytes) && !ends_by_close;
          });
      GatewayFixture gateway({upstream.port()});
      ExpectUnknown(gateway.Exchange(Request("POST", "/once/1", "order")),
                    status);
    }
  }
}

// Guards against a client that waits for an order again which the target
// rejected: the statement that it has not run still counts.
Test(false_refusal, a_stated_refusal_keeps_its_promise) {
  for (const auto* status : kPromises) {
    UpstreamFake upstream(
        Always(Answer(HeadOf(status) + "\r\nNot-Run: 1", "full")));
    GatewayFixture gateway({upstream.port()});
    const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
    cr_expect_eq(answer.status(), 503, "%s", status);
    cr_expect(answer.header("Flamingoyoke-Outcome") == "not-run");
  }
}

// Guards against failing a repeatable request that another target can serve,
// and against hiding the status of the only one.
Test(false_refusal, a_repeatable_request_is_retried) {
  for (const auto* status : kPromises) {
    UpstreamFake failing(Always(Answer(HeadOf(status), "failed")));
    UpstreamFake sound(Always(Answer(HeadOf("200 OK"), "done")));
    GatewayFixture gateway({failing.port(), sound.port()});
    for (int i = 0; i < 6; ++i) {
      const auto answer = gateway.Exchange(Request("GET", "/repeatable/1"));
      cr_expect_eq(answer.status(), 200, "%s: %d", status, answer.status());
    }
    GatewayFixture alone({failing.port()});
    const auto answer = alone.Exchange(Request("GET", "/repeatable/1"));
    cr_expect_eq(std::to_string(answer.status()),
                 std::string(status).substr(0, 3));
    cr_expect_eq(answer.body, "failed");
  }
}

}  // namespace flamingoyoke
