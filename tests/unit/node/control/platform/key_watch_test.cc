#include "node/control/platform/key_watch.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <thread>

#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {

TestSuite(key_watch, .timeout = 60);

// Guards against unbounded memory for a configuration service that never stops
// sending.
Test(key_watch, limits_what_a_service_may_send) {
  TestListener listener;
  std::size_t sent = 0;
  std::thread service([&] {
    auto socket = listener.Accept();
    socket.ReadMessage();
    std::string piece;
    while (piece.size() < (16 << 10)) {
      piece += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    while (sent < (64 << 20) && socket.Write(piece)) {
      sent += piece.size();
    }
  });
  EventLoop loop;
  PlatformConfig config;
  config.host = "127.0.0.1";
  config.port = listener.port();
  std::string failure;
  {
    KeyWatch watch(
        loop, config, "table", Random(1),
        [](std::uint64_t, const std::string&) { return true; },
        [&](const std::string& reason) {
          failure = reason;
          loop.Quit();
        });
    loop.Run();
  }
  listener.Shutdown();
  service.join();
  cr_assert(failure.find("exceeds") != std::string::npos, "%s",
            failure.c_str());
  cr_assert_lt(sent, 48U << 20);
}

}  // namespace flamingoyoke
