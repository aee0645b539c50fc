#include "node/traffic/caller_server.h"

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <variant>

#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {

auto MakeServer(EventLoop& loop) -> CallerServer {
  return {loop, CallerServer::Limits{},
          CallerServer::Handler{
              [](const ScannedHead&) -> std::variant<BodyAllowance, ErrorKind> {
                return BodyAllowance{0};
              },
              [](std::unique_ptr<CallerExchange>) {}, [] {}}};
}

// Guards against an address in use that counts as a lasting failure.
Test(caller_server, tells_an_address_in_use_from_other_errors) {
  EventLoop loop;
  auto first = MakeServer(loop);
  cr_assert(first.Listen("127.0.0.1", 0));
  auto second = MakeServer(loop);
  const auto in_use =
      CaptureError([&] { return second.Listen("127.0.0.1", first.port()); });
  cr_assert(in_use);
  cr_assert(in_use->kind == ErrorKind::kAddressInUse, "%s",
            in_use->detail.c_str());
  // An address of documentation, which no machine has.
  const auto unknown =
      CaptureError([&] { return second.Listen("192.0.2.1", 1); });
  cr_assert(unknown);
  cr_assert(unknown->kind == ErrorKind::kSocketFailed);
}

// Guards against callbacks into a task that is being destroyed: the destructor
// of the server closes open connections, when other members of the task may be
// destroyed already.
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
  // Enough time to accept a connection from the backlog.
  auto timer = loop.MakeTimer([&] { loop.Quit(); });
  timer.Schedule(std::chrono::milliseconds(50));
  loop.Run();
  server->StartClosing(false);
  server.reset();
  cr_assert_eq(reports, 0);
}

}  // namespace flamingoyoke
