#include "node/traffic/upstream_connection.h"

#include <criterion/criterion.h>

#include <chrono>
#include <optional>
#include <thread>

#include "runtime/event_loop.h"
#include "unit/node/traffic/upstream_fake.h"

namespace flamingoyoke {
namespace {

TestSuite(upstream_connection, .timeout = 60);

using std::chrono::milliseconds;

// Sends a request whose connect timeout expires while the event loop does not
// run, as on a VM that was suspended. Returns the result of the attempt.
auto SendLate(UpstreamFake& upstream, bool abandon)
    -> std::optional<AttemptResult> {
  EventLoop loop;
  const auto interface = NativeUpstreamInterface();
  AnswerMemory memory(1 << 20);
  UpstreamConnection connection(loop, "127.0.0.1", upstream.port(), interface,
                                memory);
  std::optional<AttemptResult> ended;
  connection.Send({"POST", "/order", {{"Host", "h"}, {"Content-Length", "0"}}},
                  nullptr,
                  {milliseconds(1), std::chrono::seconds(5),
                   std::chrono::seconds(5), std::chrono::seconds(5)},
                  {.on_head = nullptr,
                   .on_body = nullptr,
                   .on_end = [&](AttemptResult result, const UpstreamSignals&) {
                     ended = result;
                   }});
  if (abandon) {
    connection.Abandon();
  }
  std::this_thread::sleep_for(milliseconds(50));
  auto end = loop.MakeTimer([&] { loop.Quit(); });
  end.Schedule(milliseconds(300));
  loop.Run();
  return ended;
}

}  // namespace

// Guards against a non-repeatable request that runs twice: in jutagatt scale-2,
// a VM that resumed after a suspension reported a connect failure and wrote the
// request nevertheless.
Test(upstream_connection, writes_nothing_after_a_connect_timeout) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  for (int i = 0; i < 20; ++i) {
    const auto before = upstream.executions();
    const auto result = SendLate(upstream, false);
    cr_assert(result.has_value());
    if (*result == AttemptResult::kConnectFailed) {
      cr_assert_eq(upstream.executions(), before);
    }
  }
}

// Guards against a request that is written after its caller disconnected.
Test(upstream_connection, writes_nothing_after_it_was_abandoned) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  for (int i = 0; i < 5; ++i) {
    cr_assert_not(SendLate(upstream, true).has_value());
  }
  cr_assert_eq(upstream.executions(), 0U);
}

}  // namespace flamingoyoke
