#include "node/control/store/store_reader.h"

#include <criterion/criterion.h>

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "runtime/event_loop.h"
#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {
namespace {

TestSuite(store_reader, .timeout = 60);

// Reads once from a store that handles its only connection with `serve`.
auto ReadFrom(const std::function<void(TestSocket&)>& serve)
    -> StoreReader::Response {
  TestListener listener;
  std::thread store([&] {
    auto socket = listener.Accept();
    socket.ReadMessage();
    serve(socket);
  });
  EventLoop loop;
  StoreConfig config;
  config.host = "127.0.0.1";
  config.port = listener.port();
  StoreReader::Response result;
  {
    StoreReader reader(loop, config);
    reader.Get("/list", std::chrono::seconds(5),
               [&](const StoreReader::Response& response) {
                 result = response;
                 loop.Quit();
               });
    loop.Run();
  }
  store.join();
  return result;
}

}  // namespace

// Guards against treating a cut connection like a store that is down.
Test(store_reader, tells_a_cut_connection) {
  const auto closed = ReadFrom([](TestSocket& socket) { socket.Close(); });
  cr_assert(closed.outcome == ReadOutcome::kCut);
  const auto reset = ReadFrom([](TestSocket& socket) { socket.Reset(); });
  cr_assert(reset.outcome == ReadOutcome::kCut);
  const auto answered = ReadFrom([](TestSocket& socket) {
    socket.Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  });
  cr_assert(answered.outcome == ReadOutcome::kAnswered);
  cr_assert_eq(answered.status, 503);
}

// Guards against unbounded memory for a store that never stops sending.
Test(store_reader, limits_what_a_store_may_send) {
  for (const auto* unit :
       {"HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
    std::size_t sent = 0;
    const auto response = ReadFrom([&](TestSocket& socket) {
      std::string piece = unit;
      while (socket.Write(piece) && sent < (64 << 20)) {
        sent += piece.size();
        piece = std::string(unit).find("100") != std::string::npos
                    ? std::string(unit)
                    : std::string(16 << 10, '0');
      }
    });
    cr_assert(response.outcome != ReadOutcome::kAnswered);
    cr_assert(response.outcome != ReadOutcome::kTimedOut);
    cr_assert_lt(sent, 32U << 20);
  }
}

}  // namespace flamingoyoke
