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

// Sends one request whose connect limit passes while the loop stands still, as
// on a vm that has just woken up, and returns how the attempt ended.
auto SendLate(UpstreamFake& upstream, bool abandon)
    -> std::optional<AttemptResult> {
  EventLoop loop;
  const auto interface = NativeUpstreamInterface();
  UpstreamConnection connection(loop, "127.0.0.1", upstream.port(), interface);
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

// Guards against once-only work that runs twice: jutagatt scale-2, where a vm
// that woke up gave up connecting and then wrote the request all the same.
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

// Guards against work that is written after its caller went away.
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
