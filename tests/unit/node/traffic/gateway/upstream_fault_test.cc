// Tests of the gateway with targets that violate the protocol, over loopback
// sockets.
#include <criterion/criterion.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "runtime/clock.h"
#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(upstream_fault, .timeout = 120);

constexpr const char* kSuccess = "200 OK\r\nId: req-1\r\nSigned: x";
// Size of one piece of an endless answer in bytes.
constexpr std::size_t kPieceBytes = 16 << 10;
// Maximum size of an answer that a gateway may buffer without relaying it.
constexpr std::size_t kMaxBufferedBytes = 8 << 20;

// Returns the script of an upstream that sends `start` and then `piece` until
// the gateway closes the connection or has taken kMaxBufferedBytes bytes.
// Counts the bytes taken in `taken`.
auto Endless(const std::string& start,
             const std::string& piece,
             std::atomic<std::size_t>& taken) -> UpstreamFake::Script {
  return
      [start, piece, &taken](const UpstreamFake::Request&, TestSocket& socket) {
        socket.Write(start);
        while (taken < kMaxBufferedBytes && socket.Write(piece)) {
          taken += piece.size();
        }
        return false;
      };
}

// Returns the script of an upstream that slowly sends an endless body.
auto Trickling(const std::string& start) -> UpstreamFake::Script {
  return [start](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write(start);
    while (socket.Write("1\r\nx\r\n")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  };
}

}  // namespace

// Guards against unbounded memory for an endless answer head.
Test(upstream_fault, aborts_an_endless_head) {
  for (const auto& piece : {std::string(kPieceBytes, 'a'),
                            "X: " + std::string(kPieceBytes, 'a') + "\r\n"}) {
    for (const auto* start : {"", "HTTP/1.1 200 OK\r\n"}) {
      std::atomic<std::size_t> taken = 0;
      UpstreamFake upstream(Endless(start, piece, taken));
      GatewayFixture gateway({upstream.port()});
      const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
      cr_assert_eq(answer.status(), 502);
      cr_assert_lt(taken.load(), kMaxBufferedBytes);
    }
  }
}

// Guards against unbounded memory for bytes that are no part of an answer: a
// gateway held 554 MB of interim responses, and chunk sizes and incomplete
// chunks without limit.
Test(upstream_fault, aborts_endless_input_that_is_no_answer) {
  const auto chunked = std::string("HTTP/1.1 ") + kSuccess +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n";
  const struct {
    std::string start;
    std::string unit;
  } cases[] = {
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"},
      {chunked, "0"},
      {chunked, "\r\n"},
      {chunked + "fffffffffff\r\n", "x"},
      {chunked + "0\r\n", "X: y\r\n"},
  };
  for (const auto& each : cases) {
    std::string piece;
    while (piece.size() < kPieceBytes) {
      piece += each.unit;
    }
    std::atomic<std::size_t> taken = 0;
    UpstreamFake upstream(Endless(each.start, piece, taken));
    GatewayFixture gateway({upstream.port()});
    const auto sent = Now();
    const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
    cr_assert_eq(answer.status(), 502, "%s: %d", each.unit.c_str(),
                 answer.status());
    cr_assert_lt(taken.load(), kMaxBufferedBytes, "%s", each.unit.c_str());
    cr_assert_lt(ToMilliseconds(Now() - sent), 10'000);
  }
}

// Guards against requests of other callers that end with the process: many
// targets that send incomplete chunks at once may only use the memory that is
// set aside for answers.
Test(upstream_fault, many_endless_answers_share_a_limit) {
  constexpr std::size_t kCallers = 64;
  // Less than the limit of one connection.
  constexpr std::size_t kHeldBytes = 512 << 10;
  constexpr std::size_t kMemoryBytes = 4 << 20;
  const auto head = std::string("HTTP/1.1 ") + kSuccess +
                    "\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n";
  UpstreamFake faulty([&](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write(head + std::string(kHeldBytes, 'x'));
    socket.WaitForClose();
    return false;
  });
  auto config = MakeGatewayConfig();
  config.traffic.answer_memory_bytes = kMemoryBytes;
  config.traffic.connect_timeout = std::chrono::seconds(5);
  GatewayFixture gateway({faulty.port()}, config, true, kCallers);
  std::vector<TestSocket> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(gateway.Connect());
    cr_assert(callers.back().Write(
        Request("POST", "/once/1", "order", "req-1", "3000")));
  }
  std::size_t held_until_the_deadline = 0;
  for (auto& caller : callers) {
    const auto answer = caller.ReadMessage();
    cr_assert(answer.has_value());
    held_until_the_deadline += answer->status() == 504 ? 1 : 0;
  }
  cr_assert_leq(held_until_the_deadline, kMemoryBytes / kHeldBytes);
}

// Guards against answers with a status that evhttp understands in another way
// than the target, or that is none.
Test(upstream_fault, status_line_that_is_none_is_no_answer) {
  const std::string rest =
      "\r\nId: req-1\r\nSigned: x\r\nContent-Length: 2\r\n\r\nok";
  for (const std::string line :
       {"HTTP/1.1 0200 OK", "HTTP/1.1 600 X", "HTTP/1.1 999 X",
        "HTTP/1.1 099 X", "HTTP/1.1 20 X", "HTTP/1.1 ", "HTTP/1.1",
        "HTTP/1.1  200 OK", "HTTP/1.1 -200 X", "HTTP/1.1 2x0 X",
        "HTTP/1.1 000 X", "HTTP/1.1 200OK", "HTTP/0.9 200 OK",
        "HTTP/1.1 101 Switching Protocols", "plain text of HTTP/0.9",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0200 OK"}) {
    UpstreamFake upstream(
        [&](const UpstreamFake::Request&, TestSocket& socket) {
          return socket.Write(line + rest);
        });
    GatewayFixture gateway({upstream.port()});
    const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
    cr_expect_eq(answer.status(), 502, "%s: %d", line.c_str(), answer.status());
    cr_expect(answer.header("Flamingoyoke-Outcome") == "unknown", "%s",
              line.c_str());
    cr_expect_not(answer.header("Signed").has_value(), "%s", line.c_str());
  }
}

// Guards against a check that refuses valid answers.
Test(upstream_fault, valid_status_lines_are_relayed) {
  for (const std::string start :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK",
        "HTTP/1.1 100 Continue\r\nX: y\r\n\r\nHTTP/1.1 200 OK"}) {
    UpstreamFake upstream([&](const UpstreamFake::Request&,
                              TestSocket& socket) {
      return socket.Write(
          start + "\r\nId: req-1\r\nSigned: x\r\nContent-Length: 2\r\n\r\nok");
    });
    GatewayFixture gateway({upstream.port()});
    const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
    cr_expect_eq(answer.status(), 200, "%s: %d", start.c_str(),
                 answer.status());
    cr_expect(answer.whole && answer.body == "ok", "%s", start.c_str());
  }
}

// Guards against a part of an answer that looks complete: a target answers
// while the upload is being written, without a length, and resets the
// connection.
Test(upstream_fault, early_answer_that_is_reset_is_not_complete) {
  for (const std::size_t size : {200U, 300U << 10, 8U << 20}) {
    TestListener listener;
    std::thread target([&] {
      while (true) {
        auto socket = listener.Accept();
        if (!socket.valid()) {
          return;
        }
        std::array<char, 64> start{};
        (void)recv(socket.descriptor(), start.data(), start.size(), 0);
        socket.Write(std::string("HTTP/1.1 ") + kSuccess +
                     "\r\n\r\npart of the body");
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        socket.Reset();
      }
    });
    {
      auto config = MakeGatewayConfig();
      GatewayFixture gateway({listener.port()}, config);
      auto caller = gateway.Connect();
      cr_assert(
          caller.Write(Request("POST", "/once/1", std::string(size, 'u'))));
      const auto answer = caller.ReadMessage();
      cr_expect(!answer || answer->status() == 502 || !answer->whole,
                "%zu bytes: a part looks complete", size);
    }
    listener.Shutdown();
    target.join();
  }
}

// Guards against attempts and callers that are blocked as long as a target
// keeps sending.
Test(upstream_fault, aborts_an_endless_body_at_the_deadline) {
  const std::string head = std::string("HTTP/1.1 ") + kSuccess + "\r\n";
  const std::string shed = "HTTP/1.1 503 Full\r\nId: req-1\r\nNot-Run: 1\r\n";
  for (const auto& start :
       {head + "Transfer-Encoding: chunked\r\n\r\n", head + "\r\n",
        head + "Content-Length: 1000000000\r\n\r\n",
        shed + "Transfer-Encoding: chunked\r\n\r\n"}) {
    UpstreamFake upstream(Trickling(start));
    GatewayFixture gateway({upstream.port()});
    const auto sent = Now();
    const auto answer =
        gateway.Exchange(Request("POST", "/once/1", "order", "req-1", "600"));
    cr_assert(answer.status() == 502 || answer.status() == 504);
    cr_assert_lt(ToMilliseconds(Now() - sent), 5000);
  }
}

// Guards against reporting a request that ran as not run, when a target repeats
// an earlier refusal on a keep-alive connection.
Test(upstream_fault, ignores_a_repeated_refusal) {
  for (const auto* second :
       {"503 Full\r\nId: req-1\r\nNot-Run: 1", "503 Full\r\nNot-Run: 1",
        "421 Misdirected\r\nId: req-1", "421 Misdirected"}) {
    // The first request on a connection is refused. The next one runs, but the
    // refusal is sent again instead of its answer.
    UpstreamFake upstream([second](const UpstreamFake::Request& request,
                                   TestSocket& socket) {
      if (request.number == 0 && request.connection == 0) {
        return socket.Write(Answer("503 Full\r\nId: req-1\r\nNot-Run: 1", ""));
      }
      return socket.Write(Answer(second, ""));
    });
    GatewayFixture gateway({upstream.port()});
    gateway.Exchange(Request("POST", "/once/1", "first", "req-1"));
    const auto answer =
        gateway.Exchange(Request("POST", "/once/1", "second", "req-2"));
    cr_assert_eq(answer.status(), 502, "%s: %d", second, answer.status());
  }
}

// Guards against running a non-repeatable request on a second target because a
// refusal was sent twice: the duplicate may be taken for the answer to a later
// request.
Test(upstream_fault, closes_a_connection_after_a_refusal) {
  UpstreamFake upstream(
      Always(Answer("503 Full\r\nId: req-1\r\nNot-Run: 1", "")));
  GatewayFixture gateway({upstream.port()});
  for (int i = 0; i < 3; ++i) {
    gateway.Exchange(Request("POST", "/once/1", "order"));
  }
  cr_assert_eq(upstream.connections(), upstream.executions());
}

// Guards against answering 200 with an empty or short body when a target
// stopped in the middle of the head.
Test(upstream_fault, rejects_a_truncated_head) {
  const auto whole = std::string("HTTP/1.1 ") + kSuccess +
                     "\r\nContent-Length: 10\r\n\r\n0123456789";
  const auto head_bytes = whole.find("\r\n\r\n") + 4;
  for (const bool resets : {false, true}) {
    std::size_t cut = 0;
    UpstreamFake upstream(
        [&](const UpstreamFake::Request&, TestSocket& socket) {
          socket.Write(whole.substr(0, cut));
          if (resets) {
            socket.Reset();
          }
          return false;
        });
    for (cut = 0; cut < whole.size(); ++cut) {
      // A new gateway has no evidence yet that the target is failing.
      GatewayFixture gateway({upstream.port()});
      const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
      cr_assert_eq(answer.status(), 502, "cut at %zu of %zu: %d", cut,
                   head_bytes, answer.status());
    }
  }
}

// Guards against the same for an answer without a length, which is complete
// only if the connection closes after a complete head.
Test(upstream_fault, rejects_a_truncated_head_without_length) {
  const auto head = std::string("HTTP/1.1 ") + kSuccess + "\r\n\r\n";
  std::size_t cut = 0;
  UpstreamFake upstream([&](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Write(head.substr(0, cut));
    return false;
  });
  for (cut = 0; cut < head.size(); ++cut) {
    GatewayFixture gateway({upstream.port()});
    const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
    cr_assert_eq(answer.status(), 502, "cut at %zu: %d", cut, answer.status());
  }
}

}  // namespace flamingoyoke
