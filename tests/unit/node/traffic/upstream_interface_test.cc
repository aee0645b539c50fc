// Tests the upstream interface of the traffic task over loopback sockets.
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "runtime/clock.h"
#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

constexpr std::size_t kMostRequests = 20;
constexpr std::size_t kLongAnswer = 64 << 20;

auto MakeNonRepeatableRow(const char* service,
                          const std::vector<std::uint16_t>& ports)
    -> ServiceRow {
  auto row = MakeRow(service, ports);
  row.repeatable = false;
  row.key_policy = KeyPolicy::kOptional;
  return row;
}

// Returns a port on which nothing listens.
auto ClosedPort() -> std::uint16_t {
  return TestListener().port();
}

// A non-repeatable request whose connection is reset after the write may have
// run, so it must not be sent again, not even to another target.
Test(upstream_interface, reset_after_write_of_unrepeatable_work_runs_once) {
  const auto reset = [](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Reset();
    return false;
  };
  UpstreamFake first(reset);
  UpstreamFake second(reset);
  TrafficFixture node(
      {MakeNonRepeatableRow("orders", {first.port(), second.port()})});
  const auto answer = node.Exchange(PostRequest("/orders", "book"));
  cr_assert_eq(answer.status(), 502);
  cr_assert(answer.header("Flamingoyoke-Outcome") == "unknown");
  cr_assert(answer.header("Flamingoyoke-Error") == "upstream-reset");
  cr_assert_eq(first.executions() + second.executions(), 1U);
}

// evhttp's client can resend a request when a keep-alive connection ends after
// the write. This must not happen to a non-repeatable request.
Test(upstream_interface, reset_on_a_reused_connection_runs_once) {
  UpstreamFake upstream(
      [](const UpstreamFake::Request& request, TestSocket& socket) {
        if (request.number == 0) {
          return EchoScript()(request, socket);
        }
        socket.Reset();
        return false;
      });
  TrafficFixture node({MakeNonRepeatableRow("orders", {upstream.port()})});
  // Idle connections may be those of probes, so it takes a few requests until
  // one is reused.
  std::size_t sent = 0;
  bool reset = false;
  while (!reset && sent < kMostRequests) {
    const auto answer = node.Exchange(PostRequest("/orders", "a"));
    ++sent;
    reset = answer.status() != 200;
    cr_assert(!reset || answer.header("Flamingoyoke-Outcome") == "unknown");
  }
  cr_assert(reset);
  cr_assert_eq(upstream.executions(), sent);
}

// An idle connection that the upstream has closed must not be reused, so that
// the next request succeeds.
Test(upstream_interface, closed_kept_connection_is_not_used) {
  UpstreamFake upstream(
      [](const UpstreamFake::Request& request, TestSocket& socket) {
        EchoScript()(request, socket);
        return false;
      });
  TrafficFixture node({MakeNonRepeatableRow("orders", {upstream.port()})});
  for (int i = 0; i < 10; ++i) {
    const auto answer = node.Exchange(PostRequest("/orders", "a"));
    // If the close arrives during the write, the outcome is "unknown".
    cr_assert(answer.status() == 200 ||
              answer.header("Flamingoyoke-Outcome") == "unknown");
  }
  cr_assert_leq(upstream.executions(), 10U);
}

// A repeatable request must be retried after a reset.
Test(upstream_interface, reset_of_repeatable_work_is_retried) {
  std::atomic<int> count = 0;
  const auto script = [&](const UpstreamFake::Request& request,
                          TestSocket& socket) {
    if (++count == 1) {
      socket.Reset();
      return false;
    }
    return EchoScript()(request, socket);
  };
  UpstreamFake first(script);
  UpstreamFake second(script);
  auto row = MakeRow("stock", {first.port(), second.port()});
  row.retry_share = 1;
  TrafficFixture node({row});
  const auto answer = node.Exchange(PostRequest("/stock", "a"));
  cr_assert_eq(answer.status(), 200);
  cr_assert_eq(first.executions() + second.executions(), 2U);
}

// After a refused connection nothing was written, so without another target the
// outcome must be "not-run", even for a non-repeatable request.
Test(upstream_interface, refused_connection_is_not_run) {
  TrafficFixture node({MakeNonRepeatableRow("orders", {ClosedPort()})});
  const auto answer = node.Exchange(
      PostRequest("/orders", "a", "Flamingoyoke-Deadline-Ms: 200\r\n"));
  cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run", "%s",
            answer.head.c_str());
}

// A refusal with Flamingoyoke-Not-Run must not be relayed as an upstream
// response.
Test(upstream_interface, shed_answer_is_not_relayed_as_run) {
  UpstreamFake shedding([](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write(
        "HTTP/1.1 503 Busy\r\nFlamingoyoke-Not-Run: 1\r\n"
        "Content-Length: 4\r\n\r\nbusy");
  });
  TrafficFixture node({MakeNonRepeatableRow("orders", {shedding.port()})});
  const auto answer = node.Exchange(
      PostRequest("/orders", "a", "Flamingoyoke-Deadline-Ms: 200\r\n"));
  cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run", "%s",
            answer.head.c_str());
  cr_assert_eq(answer.body.find("busy"), std::string::npos);
}

// A server error is a complete response: it must be relayed and not retried.
Test(upstream_interface, server_error_is_relayed) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write("HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\nfail");
  });
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  const auto answer = node.Exchange(Get("/stock"));
  cr_assert_eq(answer.status(), 500);
  cr_assert_eq(answer.body, std::string("fail"));
  cr_assert(answer.header("Flamingoyoke-Outcome") == "run");
  cr_assert_eq(upstream.executions(), 1U);
}

// A truncated response must reach the caller as truncated.
Test(upstream_interface, cut_answers_are_not_whole) {
  for (const std::string part :
       {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
        "chunked\r\n\r\n5\r\nhello\r\n"}) {
    UpstreamFake upstream(
        [&](const UpstreamFake::Request&, TestSocket& socket) {
          socket.Write(part);
          return false;
        });
    TrafficFixture node({MakeNonRepeatableRow("orders", {upstream.port()})});
    const auto answer = node.Exchange(PostRequest("/orders", "a"));
    cr_assert_not(answer.whole, "%s", part.c_str());
    cr_assert_eq(upstream.executions(), 1U);
  }
}

// Responses without a length or chunks, or with ambiguous framing, cannot be
// checked for truncation and must be refused.
Test(upstream_interface, answers_without_safe_framing_are_refused) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const auto two_encodings =
      ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" +
      "5\r\nhello\r\n0\r\n\r\n";
  const auto early_hints = "HTTP/1.1 103 Early Hints\r\n\r\n" + ok +
                           "Content-Length: 5\r\n\r\nhello";
  const std::vector<std::string> answers{
      ok + "\r\nhello",
      ok + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
      ok + "Content-Length: +5\r\n\r\nhello",
      two_encodings,
      early_hints,
      "nonsense\r\n\r\n"};
  for (const auto& text : answers) {
    UpstreamFake upstream(
        [&](const UpstreamFake::Request&, TestSocket& socket) {
          socket.Write(text);
          return false;
        });
    TrafficFixture node({MakeNonRepeatableRow("orders", {upstream.port()})});
    const auto answer = node.Exchange(PostRequest("/orders", "a"));
    cr_assert_eq(answer.status(), 502, "%s", text.c_str());
    cr_assert(answer.header("Flamingoyoke-Outcome") == "unknown");
  }
}

// Bytes after a response must not be read as the response to the next request.
Test(upstream_interface, stray_bytes_never_reach_another_request) {
  UpstreamFake upstream(
      [](const UpstreamFake::Request& request, TestSocket& socket) {
        const auto answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + request.body;
        return socket.Write(answer +
                            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX");
      });
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  for (const auto* body : {"a", "b", "c", "d", "e"}) {
    const auto answer = node.Exchange(PostRequest("/stock", body));
    cr_assert_eq(answer.body, std::string(body));
  }
  cr_assert_eq(upstream.connections(), 5U);
}

// A response that arrives after the timeout of its request must not be
// delivered to another request.
Test(upstream_interface, late_answer_never_reaches_another_request) {
  std::atomic<int> count = 0;
  UpstreamFake* self = nullptr;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        if (++count == 1) {
          self->WaitForRelease();
        }
        return EchoScript()(request, socket);
      });
  self = &upstream;
  auto row = MakeNonRepeatableRow("orders", {upstream.port()});
  TrafficFixture node({row});
  const auto late = node.Exchange(
      PostRequest("/orders", "late", "Flamingoyoke-Deadline-Ms: 100\r\n"));
  cr_assert_eq(late.status(), 504);
  cr_assert(late.header("Flamingoyoke-Outcome") == "unknown");
  upstream.Release();
  for (int i = 0; i < 5; ++i) {
    const auto body = std::to_string(i);
    cr_assert_eq(node.Exchange(PostRequest("/orders", body)).body, body);
  }
  cr_assert_eq(upstream.executions_on(upstream.request(0).connection), 1U);
}

// The upstream connection must be closed when the caller disconnects.
Test(upstream_interface, cancellation_closes_the_upstream_connection) {
  std::promise<bool> ended;
  UpstreamFake upstream([&](const UpstreamFake::Request&, TestSocket& socket) {
    ended.set_value(socket.WaitForClose());
    return false;
  });
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  cr_assert(caller.Write(PostRequest("/stock", "a")));
  cr_assert(upstream.WaitForExecutions(1));
  caller.Close();
  auto result = ended.get_future();
  cr_assert(result.wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
  cr_assert(result.get());
}

// The upstream connection must be closed when the caller disconnects during the
// response.
Test(upstream_interface, cancellation_during_the_answer) {
  std::promise<bool> ended;
  UpstreamFake upstream([&](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello");
    ended.set_value(socket.WaitForClose());
    return false;
  });
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  cr_assert(caller.Write(Get("/stock")));
  std::array<char, 1> byte{};
  cr_assert_eq(recv(caller.descriptor(), byte.data(), 1, 0), 1);
  caller.Close();
  auto result = ended.get_future();
  cr_assert(result.wait_for(std::chrono::seconds(20)) ==
            std::future_status::ready);
  cr_assert(result.get());
}

// A slow caller must cause back pressure on the upstream instead of unlimited
// buffering, and still get the complete response.
Test(upstream_interface, long_answer_is_streamed_with_back_pressure) {
  std::atomic<std::size_t> written = 0;
  UpstreamFake upstream([&](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(kLongAnswer) + "\r\n\r\n");
    const std::string part(1 << 16, 'x');
    while (written < kLongAnswer && socket.Write(part)) {
      written += part.size();
    }
    return true;
  });
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  auto caller = node.Connect();
  cr_assert(caller.Write(Get("/stock")));
  std::array<char, 1> byte{};
  cr_assert_eq(recv(caller.descriptor(), byte.data(), 1, MSG_PEEK), 1);
  // Other requests must be served while this response is blocked.
  cr_assert_eq(node.Exchange(Get("/other")).status(), 404);
  // The kernel buffers of the two connections hold a few megabytes.
  cr_assert_lt(written.load(), kLongAnswer / 2);
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_assert(answer->whole);
  cr_assert_eq(answer->body.size(), kLongAnswer);
}

// The content of chunked requests and responses must arrive unchanged.
Test(upstream_interface, chunked_bodies_in_both_directions) {
  UpstreamFake upstream(
      [](const UpstreamFake::Request& request, TestSocket& socket) {
        return socket.Write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
            "4\r\n" +
            request.body + "\r\n0\r\n\r\n");
      });
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  const auto answer = node.Exchange(
      "POST /stock HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nw\r\n3\r\nxyz\r\n0\r\n\r\n");
  cr_assert_eq(answer.body, std::string("abcwxyz"));
  cr_assert(answer.whole);
}

// A target must get no new requests after it sent a drain signal.
Test(upstream_interface, draining_target_gets_no_new_work) {
  UpstreamFake draining([](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write(
        "HTTP/1.1 200 OK\r\nFlamingoyoke-Drain: 1\r\n"
        "Content-Length: 0\r\n\r\n");
  });
  UpstreamFake staying(EchoScript());
  auto row = MakeRow("stock", {draining.port(), staying.port()});
  row.floor = 0;
  TrafficFixture node({row});
  while (draining.executions() == 0) {
    cr_assert_eq(node.Exchange(Get("/stock")).status(), 200);
  }
  for (int i = 0; i < 50; ++i) {
    cr_assert_eq(node.Exchange(Get("/stock")).status(), 200);
  }
  cr_assert_eq(draining.executions(), 1U);
}

// Listens on a port and answers no new connection, as its queue is full.
class UnansweringListener {
 public:
  UnansweringListener() : listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    cr_assert_eq(bind(listener_.descriptor(), generic, size), 0);
    cr_assert_eq(listen(listener_.descriptor(), 0), 0);
    getsockname(listener_.descriptor(), generic, &size);
    port_ = ntohs(address.sin_port);
    first_ = TestSocket::Connect(port_);
  }

  [[nodiscard]] auto port() const -> std::uint16_t { return port_; }

 private:
  TestSocket listener_;
  std::uint16_t port_ = 0;
  TestSocket first_;
};

auto SlowConnectConfig() -> TrafficConfig {
  auto config = MakeConfig();
  // The system ends a connection that is not established after 2 s.
  config.connect_timeout = std::chrono::seconds(10);
  return config;
}

// Guards against a request that reaches a target long after the table dropped
// it, because its connection was not established before.
Test(upstream_interface, unsent_request_leaves_a_target_that_is_removed) {
  const UnansweringListener removed;
  UpstreamFake staying(EchoScript());
  TrafficFixture node({MakeNonRepeatableRow("orders", {removed.port()})},
                      SlowConnectConfig());
  auto caller = node.Connect();
  cr_assert(caller.Write(PostRequest("/orders", "book")));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const auto begin = Now();
  node.SetRows({MakeNonRepeatableRow("orders", {staying.port()})});
  node.Publish();
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_expect_eq(answer->status(), 200);
  cr_expect_eq(answer->body, std::string("book"));
  cr_expect_lt(ToMilliseconds(Now() - begin), 1000);
  cr_expect_eq(staying.executions(), 1U);
}

// Guards against requests that wait for a connection to a target whose service
// was removed, although no target is left.
Test(upstream_interface, unsent_request_of_a_removed_service_is_not_run) {
  const UnansweringListener removed;
  TrafficFixture node({MakeNonRepeatableRow("orders", {removed.port()})},
                      SlowConnectConfig());
  auto caller = node.Connect();
  cr_assert(caller.Write(PostRequest("/orders", "book")));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const auto begin = Now();
  node.SetRows({});
  node.Publish();
  const auto answer = caller.ReadMessage();
  cr_assert(answer.has_value());
  cr_expect_geq(answer->status(), 500);
  cr_expect(answer->header("Flamingoyoke-Outcome") == "not-run");
  cr_expect_lt(ToMilliseconds(Now() - begin), 1000);
}

// Guards against a request that reaches a target long after a peer said that it
// drains, because its connection was not established before.
Test(upstream_interface, unsent_request_leaves_a_target_that_drains) {
  const UnansweringListener draining;
  UpstreamFake staying(EchoScript());
  auto row = MakeNonRepeatableRow("orders", {draining.port(), staying.port()});
  row.floor = 0;
  row.slots = 8;
  TrafficFixture node({row}, SlowConnectConfig());
  std::vector<TestSocket> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(node.Connect());
    cr_assert(callers.back().Write(PostRequest("/orders", "book")));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cr_assert_lt(staying.executions(), 8U);
  const auto begin = Now();
  EjectionNotice notice;
  notice.service = row.service;
  notice.target = row.targets.front().id;
  notice.state = TargetState::kDraining;
  notice.version = 1;
  notice.severity = 1;
  notice.duration = std::chrono::seconds(10);
  node.mailboxes().traffic.Post(
      PeerMessageReceived{{VmId("vm-b"), Incarnation(1), notice}});
  for (auto& caller : callers) {
    const auto answer = caller.ReadMessage();
    cr_assert(answer.has_value());
    cr_expect_eq(answer->status(), 200);
  }
  cr_expect_lt(ToMilliseconds(Now() - begin), 1000);
  cr_expect_eq(staying.executions(), 8U);
}

// A VM without slots for a service, because the home set is elsewhere and
// unreachable, must refuse requests as not run.
Test(upstream_interface, service_without_slots_is_not_run) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeRow("stock", {upstream.port()})});
  node.view().placements.clear();
  node.view().members.clear();
  node.Publish();
  TestSocket::Message answer;
  do {
    answer = node.Exchange(
        PostRequest("/stock", "a", "Flamingoyoke-Deadline-Ms: 100\r\n"));
  } while (answer.status() == 200);
  cr_assert_eq(answer.status(), 503, "%s", answer.head.c_str());
  cr_assert(answer.header("Flamingoyoke-Outcome") == "not-run");
}

// Guards against responses that are delivered to the wrong one of many
// concurrent callers.
Test(upstream_interface, answers_are_never_swapped) {
  UpstreamFake first(EchoScript());
  UpstreamFake second(EchoScript());
  TrafficFixture node({MakeRow("stock", {first.port(), second.port()})});
  std::atomic<int> wrong = 0;
  std::vector<std::thread> threads;
  threads.reserve(8);
  for (int t = 0; t < 8; ++t) {
    threads.emplace_back([&, t] {
      auto caller = node.Connect();
      for (int i = 0; i < 100; ++i) {
        const auto body = std::to_string(t) + "/" + std::to_string(i);
        caller.Write(PostRequest("/stock", body));
        const auto answer = caller.ReadMessage();
        if (!answer || answer->body != body) {
          ++wrong;
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  cr_assert_eq(wrong.load(), 0);
  // Connections per target must not exceed its slots.
  cr_assert_leq(first.connections(), 4U);
  cr_assert_leq(second.connections(), 4U);
}

}  // namespace
}  // namespace flamingoyoke
