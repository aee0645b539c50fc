#include "node/traffic/gateway/gateway_task.h"

#include <criterion/criterion.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(gateway_task, .timeout = 120);

}  // namespace

// Guards against attempts without the remaining time or the expected target,
// and against answers that change on the way.
Test(gateway_task, passes_on_requests_and_answers) {
  UpstreamFake upstream(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "whole")));
  GatewayFixture gateway({upstream.port()});
  const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
  cr_assert_eq(answer.status(), 200);
  cr_assert_eq(answer.body, "whole");
  cr_assert_neq(answer.head.find("Signed: x"), std::string::npos);
  const auto sent = upstream.request(0);
  cr_assert_eq(sent.body, "order");
  cr_assert_neq(sent.head.find("Id: req-1"), std::string::npos);
  cr_assert_neq(
      sent.head.find("Expect-Target: t" + std::to_string(upstream.port())),
      std::string::npos);
  cr_assert_neq(sent.head.find("Left-Ms: 1"), std::string::npos);
  cr_assert_eq(sent.head.find("Left-Ms: 15000\r\nLeft-Ms"), std::string::npos);
}

// Guards against a success that is another request's, or not the target's.
Test(gateway_task, never_relays_a_foreign_success) {
  for (const auto* head : {"200 OK\r\nId: req-0\r\nSigned: x",
                           "200 OK\r\nId: req-1", "200 OK\r\nSigned: x"}) {
    UpstreamFake upstream(Always(Answer(head, "foreign")));
    GatewayFixture gateway({upstream.port()});
    const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
    cr_assert_eq(answer.status(), 502, "%s", head);
    cr_assert_eq(upstream.executions(), 1U);
  }
}

// Guards against once-only work that is lost when a target sheds it, and
// against 503 for work that ran.
Test(gateway_task, sends_shed_work_elsewhere) {
  UpstreamFake full(Always(Answer("503 Full\r\nId: req-1\r\nNot-Run: 1", "")));
  UpstreamFake idle(Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({full.port(), idle.port()});
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(gateway.Exchange(Request("POST", "/once/1", "o")).status(),
                 200);
  }
}

// Guards against a target that another process has replaced at its address.
Test(gateway_task, leaves_a_replaced_target_alone) {
  UpstreamFake other(Always(Answer("421 Misdirected\r\nId: req-1", "")));
  UpstreamFake own(Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({other.port(), own.port()});
  for (int i = 0; i < 8; ++i) {
    cr_assert_eq(gateway.Exchange(Request("POST", "/once/1", "o")).status(),
                 200);
  }
  cr_assert_leq(other.executions(), 1U);
}

// Guards against cut answers that look whole, and against the failure of
// repeatable work that another target can do.
Test(gateway_task, replaces_a_cut_answer_of_repeatable_work) {
  const auto cut = [](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write(
        "HTTP/1.1 200 OK\r\nId: req-1\r\nSigned: x\r\nContent-Length: "
        "100\r\n\r\npart");
    return false;
  };
  UpstreamFake broken(cut);
  UpstreamFake healthy(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "ok")));
  GatewayFixture gateway({broken.port(), healthy.port()});
  for (int i = 0; i < 6; ++i) {
    const auto answer = gateway.Exchange(Request("GET", "/repeatable/1"));
    cr_assert_eq(answer.status(), 200);
    cr_assert_eq(answer.body, "ok");
  }
  GatewayFixture alone({broken.port()});
  cr_assert_eq(alone.Exchange(Request("POST", "/once/1", "o")).status(), 502);
}

// Guards against the loss of answers without a length that end in good order.
Test(gateway_task, accepts_an_answer_that_ends_with_its_connection) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write("HTTP/1.1 200 OK\r\nId: req-1\r\nSigned: x\r\n\r\nto the end");
    return false;
  });
  GatewayFixture gateway({upstream.port()});
  const auto answer = gateway.Exchange(Request("GET", "/repeatable/1"));
  cr_assert_eq(answer.status(), 200);
  cr_assert_eq(answer.body, "to the end");
}

// Guards against a process that ends: jutagatt trouble-2 --seed 587368157405,
// where a target answered a long upload before it had read it, which stopped
// evhttp in the middle of the write.
Test(gateway_task, takes_an_answer_that_comes_before_the_body_was_read) {
  constexpr std::size_t kBytes = 900'000;
  TestListener listener;
  std::thread target([&] {
    for (int i = 0; i < 4; ++i) {
      auto socket = listener.Accept();
      if (!socket.valid()) {
        return;
      }
      std::array<char, 1024> part{};
      recv(socket.descriptor(), part.data(), part.size(), 0);
      socket.Write(
          "HTTP/1.1 500 No\r\nId: req-1\r\nSigned: x\r\nContent-Length: "
          "5\r\n\r\nearly");
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  GatewayFixture gateway({listener.port()});
  for (int i = 0; i < 4; ++i) {
    const auto answer =
        gateway.Exchange(Request("POST", "/once/1", std::string(kBytes, 'b')));
    cr_assert_eq(answer.status(), 500);
    cr_assert_eq(answer.body, "early");
  }
  target.join();
}

// Guards against 404 before a configuration is known, and against addresses
// from a vm that knows no fleet.
Test(gateway_task, says_not_ready_before_it_knows_a_configuration) {
  Mailboxes mailboxes;
  std::promise<std::uint16_t> promise;
  auto future = promise.get_future();
  TaskHost<ListeningGateway> host("gateway", mailboxes.traffic, [&] {
    return std::make_unique<ListeningGateway>(
        MakeGatewayConfig(),
        TrafficOutbox{mailboxes.mesh, mailboxes.admin, mailboxes.telemetry,
                      mailboxes.fleet},
        promise);
  });
  host.Start([](const std::optional<Error>&) {});
  const auto port = future.get();
  for (const auto* path : {"/once/1", "/-/ready", "/-/addresses"}) {
    auto socket = TestSocket::Connect(port);
    cr_assert(socket.Write(Request("GET", path)));
    cr_assert_eq(socket.ReadMessage()->status(), 503, "%s", path);
  }
}

Test(gateway_task, answers_status_questions) {
  GatewayFixture gateway({1});
  cr_assert_eq(gateway.Exchange(Request("GET", "/-/ready")).status(), 200);
  cr_assert_eq(gateway.Exchange(Request("GET", "/-/addresses?name=h")).body,
               "10.0.0.1:80");
  cr_assert_eq(gateway.Exchange(Request("GET", "/none/")).status(), 404);
}

}  // namespace flamingoyoke
