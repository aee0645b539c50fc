// Tests of the gateway against targets that break the protocol, over loopback
// sockets.
#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "runtime/clock.h"
#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(upstream_trouble, .timeout = 120);

constexpr const char* kSuccess = "200 OK\r\nId: req-1\r\nSigned: x";
// Bytes of one piece of an answer without end.
constexpr std::size_t kPiece = 16 << 10;
// More than a gateway may keep of one answer that it does not relay.
constexpr std::size_t kMostKept = 8 << 20;

// Returns the script of an upstream that begins with `start` and then writes
// `piece` until the gateway closes the connection, or kMostKept was taken.
// Counts the bytes taken in `taken`.
auto Endless(const std::string& start,
             const std::string& piece,
             std::atomic<std::size_t>& taken) -> UpstreamFake::Script {
  return
      [start, piece, &taken](const UpstreamFake::Request&, TestSocket& socket) {
        socket.Write(start);
        while (taken < kMostKept && socket.Write(piece)) {
          taken += piece.size();
        }
        return false;
      };
}

// Returns the script of an upstream that trickles a body without end.
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

// Guards against memory that grows with the head of an answer without end.
Test(upstream_trouble, a_head_without_end_is_given_up) {
  for (const auto& piece :
       {std::string(kPiece, 'a'), "X: " + std::string(kPiece, 'a') + "\r\n"}) {
    for (const auto* start : {"", "HTTP/1.1 200 OK\r\n"}) {
      std::atomic<std::size_t> taken = 0;
      UpstreamFake upstream(Endless(start, piece, taken));
      GatewayFixture gateway({upstream.port()});
      const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
      cr_assert_eq(answer.status(), 502);
      cr_assert_lt(taken.load(), kMostKept);
    }
  }
}

// Guards against attempts and callers that are held for as long as a target
// goes on sending.
Test(upstream_trouble, a_body_without_end_ends_with_the_time_of_the_request) {
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

// Guards against "not run" for work that ran, when a target writes an earlier
// refusal once more on a connection that is kept.
Test(upstream_trouble, a_refusal_written_once_more_is_not_believed) {
  for (const auto* second :
       {"503 Full\r\nId: req-1\r\nNot-Run: 1", "503 Full\r\nNot-Run: 1",
        "421 Misdirected\r\nId: req-1", "421 Misdirected"}) {
    // The first request on a connection is refused. The next one there runs,
    // but the refusal is written again in place of its answer.
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

// Guards against once-only work that runs at a second target since a refusal of
// the same request was written twice: the copy may meet a later request.
Test(upstream_trouble, a_connection_with_a_refusal_is_not_used_again) {
  UpstreamFake upstream(
      Always(Answer("503 Full\r\nId: req-1\r\nNot-Run: 1", "")));
  GatewayFixture gateway({upstream.port()});
  for (int i = 0; i < 3; ++i) {
    gateway.Exchange(Request("POST", "/once/1", "order"));
  }
  cr_assert_eq(upstream.connections(), upstream.executions());
}

// Guards against a 200 with an empty or short body from a target that stopped
// in the middle of the head.
Test(upstream_trouble, a_head_that_ends_midway_is_no_answer) {
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
      // A new gateway does not know the target for a failing one yet.
      GatewayFixture gateway({upstream.port()});
      const auto answer = gateway.Exchange(Request("POST", "/once/1", "order"));
      cr_assert_eq(answer.status(), 502, "cut at %zu of %zu: %d", cut,
                   head_bytes, answer.status());
    }
  }
}

// Guards against the same with an answer that has no length: only its end by a
// close after a whole head is an end.
Test(upstream_trouble, a_head_without_a_length_that_ends_midway_is_no_answer) {
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
