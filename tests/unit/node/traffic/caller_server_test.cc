#include "node/traffic/caller_server.h"

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <variant>

#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {

// Guards against calls into a task that is being destroyed: its members go in
// turn, and connections that are still open close with the server.
Test(caller_server, reports_no_progress_while_it_is_destroyed) {
  EventLoop loop;
  int reports = 0;
  auto server = std::make_unique<CallerServer>(
      loop, CallerServer::Limits{},
      CallerServer::Handler{
          [](const ScannedHead&) -> std::variant<BodyAllowance, ErrorKind> {
            return BodyAllowance{0};
          },
          [](std::unique_ptr<CallerExchange>) {}, [&] { ++reports; }});
  cr_assert(server->Listen("127.0.0.1", 0));
  const auto caller = TestSocket::Connect(server->port());
  // Long enough to accept a connection that the kernel holds ready.
  auto timer = loop.MakeTimer([&] { loop.Quit(); });
  timer.Schedule(std::chrono::milliseconds(50));
  loop.Run();
  server->StartClosing(false);
  server.reset();
  cr_assert_eq(reports, 0);
}

}  // namespace flamingoyoke
