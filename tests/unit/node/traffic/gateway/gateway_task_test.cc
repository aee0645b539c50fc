#include "node/traffic/gateway/gateway_task.h"

#include <criterion/criterion.h>
#include <sys/socket.h>

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(gateway_task, .timeout = 120);

}  // namespace

// Guards against attempts without the remaining time or the expected target,
// and against modified answers.
Test(gateway_task, forwards_requests_and_answers) {
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

// Guards against a process that has just started and answers by the outdated
// routes of a peer before it knows the newest ones.
Test(gateway_task, answers_no_caller_by_its_routes_before_it_was_ready) {
  UpstreamFake upstream(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({upstream.port()}, MakeGatewayConfig(), false);
  for (const auto* path : {"/once/1", "/none/1"}) {
    const auto answer = gateway.Exchange(Request("POST", path, "order"));
    cr_assert_eq(answer.status(), 503, "%s", path);
    cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run");
  }
  cr_assert_eq(upstream.executions(), 0U);
  gateway.Publish({upstream.port()});
  TestSocket::Message answer;
  do {
    answer = gateway.Exchange(Request("POST", "/once/1", "order"));
  } while (answer.status() == 503);
  cr_assert_eq(answer.status(), 200);
  // A pause takes the readiness back, but callers are still served.
  gateway.Publish({upstream.port()}, false);
  cr_assert_eq(gateway.Exchange(Request("POST", "/none/1", "order")).status(),
               404);
}

// Guards against relaying a successful answer that belongs to another request
// or does not come from the target.
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

// Guards against losing a non-repeatable request that a target shed, and
// against answering 503 for a request that ran.
Test(gateway_task, retries_shed_requests_on_another_target) {
  UpstreamFake full(Always(Answer("503 Full\r\nId: req-1\r\nNot-Run: 1", "")));
  UpstreamFake idle(Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({full.port(), idle.port()});
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(gateway.Exchange(Request("POST", "/once/1", "o")).status(),
                 200);
  }
}

// Guards against using a target whose address now belongs to another process.
Test(gateway_task, stops_using_a_replaced_target) {
  UpstreamFake other(Always(Answer("421 Misdirected\r\nId: req-1", "")));
  UpstreamFake own(Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({other.port(), own.port()});
  for (int i = 0; i < 8; ++i) {
    cr_assert_eq(gateway.Exchange(Request("POST", "/once/1", "o")).status(),
                 200);
  }
  cr_assert_leq(other.executions(), 1U);
}

// Guards against truncated answers that look complete, and against failing a
// repeatable request that another target can serve.
Test(gateway_task, retries_a_truncated_answer_of_a_repeatable_request) {
  const auto truncated = [](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write(
        "HTTP/1.1 200 OK\r\nId: req-1\r\nSigned: x\r\nContent-Length: "
        "100\r\n\r\npart");
    return false;
  };
  UpstreamFake broken(truncated);
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

// Guards against losing answers without Content-Length that end with a regular
// close.
Test(gateway_task, accepts_an_answer_delimited_by_close) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write("HTTP/1.1 200 OK\r\nId: req-1\r\nSigned: x\r\n\r\nto the end");
    return false;
  });
  GatewayFixture gateway({upstream.port()});
  const auto answer = gateway.Exchange(Request("GET", "/repeatable/1"));
  cr_assert_eq(answer.status(), 200);
  cr_assert_eq(answer.body, "to the end");
}

// Guards against a crash when a target answers a long upload before it has read
// it, which stopped evhttp in the middle of the write (jutagatt trouble-2
// --seed 587368157405).
Test(gateway_task, relays_an_answer_sent_before_the_body_was_read) {
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

// Guards against answering 404 before the first configuration, and against
// returning addresses from a VM that has no view of the fleet.
Test(gateway_task, answers_not_ready_before_configuration) {
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

// Guards against a 404 for a route that was added, from a VM that knows that it
// may not have the newest routes.
Test(gateway_task, refuses_no_route_for_good_while_its_routes_may_be_outdated) {
  UpstreamFake upstream(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({upstream.port()});
  cr_assert_eq(gateway.Exchange(Request("GET", "/none/")).status(), 404);
  gateway.Publish({upstream.port()}, true, {}, {}, true);
  cr_assert_eq(gateway.Exchange(Request("GET", "/none/")).status(), 503);
  cr_assert_eq(gateway.Exchange(Request("GET", "/repeatable/1")).status(), 200);
}

// Guards against a message for each service and peer, which took more processor
// time on entry VMs than their callers, and against batches to a peer that has
// not said that it reads them.
Test(gateway_task, reports_of_all_services_go_in_one_message) {
  UpstreamFake upstream(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "done")));
  GatewayFixture gateway({upstream.port()});
  const VmId peer("vm-b");
  gateway.Publish({upstream.port()}, true, {}, {peer});
  std::set<ServiceId> reported;
  // Runs requests to both services until `is_done` or for 20 s.
  const auto run_until = [&](const auto& is_done) {
    const auto end =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < end) {
      gateway.Exchange(Request("POST", "/once/1", "o"));
      gateway.Exchange(Request("POST", "/other/1", "o"));
      for (const auto& sent : gateway.TakeSent()) {
        cr_assert(sent.peer == peer);
        if (is_done(sent.message)) {
          return true;
        }
      }
    }
    return false;
  };
  cr_assert(run_until([&](const PeerMessage& message) {
    const auto* report = std::get_if<OutcomeReport>(&message);
    cr_assert(report != nullptr && report->reads_batches);
    reported.insert(report->service);
    return reported.size() == 2;
  }));
  gateway.Receive(
      {peer, Incarnation(1),
       OutcomeReport{
           .service = ServiceId("s"), .outcomes = {}, .reads_batches = true}});
  cr_assert(run_until([&](const PeerMessage& message) {
    const auto* batch = std::get_if<OutcomeBatch>(&message);
    return batch != nullptr && batch->reports.size() == 2 &&
           batch->reports.front().service != batch->reports.back().service;
  }));
}

// Guards against a batch of which only a part is used. The peer says that it
// avoids a target of each service, so the other one gets all requests. Each is
// avoided in turn, since this VM prefers the one that it owns.
Test(gateway_task, uses_all_reports_of_a_batch) {
  UpstreamFake first(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "first")));
  UpstreamFake second(
      Always(Answer("200 OK\r\nId: req-1\r\nSigned: x", "second")));
  const auto report = [](const std::string& service, const std::string& id) {
    return OutcomeReport{ServiceId(service),
                         {TargetOutcomes{.target = TargetId(id),
                                         .avoid = std::chrono::seconds(5)}}};
  };
  for (const bool avoids_first : {true, false}) {
    GatewayFixture gateway({first.port(), second.port()});
    const VmId peer("vm-b");
    gateway.Publish({first.port(), second.port()}, true, {}, {peer});
    const auto port =
        std::to_string(avoids_first ? first.port() : second.port());
    gateway.Receive(
        {peer, Incarnation(1),
         OutcomeBatch{{report("s", "t" + port), report("s2", "u" + port)}}});
    for (int i = 0; i < 6; ++i) {
      for (const auto* path : {"/once/1", "/other/1"}) {
        cr_assert_eq(gateway.Exchange(Request("POST", path, "o")).body,
                     avoids_first ? "second" : "first", "%s", path);
      }
    }
  }
}

Test(gateway_task, answers_status_requests) {
  GatewayFixture gateway({1});
  cr_assert_eq(gateway.Exchange(Request("GET", "/-/ready")).status(), 200);
  cr_assert_eq(gateway.Exchange(Request("GET", "/-/addresses?name=h")).body,
               "10.0.0.1:80");
  cr_assert_eq(gateway.Exchange(Request("GET", "/none/")).status(), 404);
}

}  // namespace flamingoyoke
