#include "node/traffic/caller_server.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <memory>
#include <variant>
#include <vector>

#include "node/log.h"
#include "unit/node/traffic/test_socket.h"

namespace flamingoyoke {
namespace {

auto IgnoreRequests() -> CallerServer::Handler {
  return {[](const ScannedHead&) -> std::variant<BodyAllowance, ErrorKind> {
            return BodyAllowance{0};
          },
          [](std::unique_ptr<CallerExchange>) {}, [] {}};
}

auto RunFor(EventLoop& loop, Duration time) -> void {
  auto timer = loop.MakeTimer([&] { loop.Quit(); });
  timer.Schedule(time);
  loop.Run();
}

// Processor time that this thread has used.
auto ThreadTime() -> std::chrono::nanoseconds {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

// Opens descriptors until the process may open no more.
auto UseAllDescriptors() -> std::vector<int> {
  constexpr rlim_t kDescriptors = 64;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = kDescriptors;
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
  std::vector<int> opened;
  for (int next = open("/dev/null", O_RDONLY | O_CLOEXEC); next >= 0;
       next = open("/dev/null", O_RDONLY | O_CLOEXEC)) {
    opened.push_back(next);
  }
  return opened;
}

}  // namespace

// Guards against an event loop that never waits while a connection cannot be
// accepted for lack of a descriptor.
Test(caller_server, waits_while_descriptors_are_used_up) {
  EventLoop loop;
  CallerServer server(loop, CallerServer::Limits{}, IgnoreRequests());
  cr_assert(server.Listen("127.0.0.1", 0));
  const auto caller = TestSocket::Connect(server.port());
  // The sanitizer opens a pipe when it checks the type of the logger first.
  Log(Part::kTraffic, LogLevel::kWarning, "using all descriptors");
  const auto opened = UseAllDescriptors();
  const auto before = ThreadTime();
  RunFor(loop, std::chrono::milliseconds(500));
  const auto used = ThreadTime() - before;
  cr_assert_eq(server.connections(), 0);
  cr_assert_lt(used.count(),
               std::chrono::nanoseconds(std::chrono::milliseconds(100)).count(),
               "used %lld ns in 500 ms", static_cast<long long>(used.count()));
  for (const int each : opened) {
    close(each);
  }
  RunFor(loop, std::chrono::milliseconds(500));
  cr_assert_eq(server.connections(), 1);
}

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

// Guards against callers beyond the limit that use up the descriptors, because
// a burst of them is accepted before the first one is closed.
Test(caller_server, closes_a_caller_beyond_the_limit_before_it_accepts_more) {
  constexpr std::size_t kLimit = 2;
  EventLoop loop;
  CallerServer::Limits limits;
  limits.connections = kLimit;
  CallerServer server(loop, limits, IgnoreRequests());
  cr_assert(server.Listen("127.0.0.1", 0));
  std::vector<TestSocket> callers(20);
  for (auto& caller : callers) {
    caller = TestSocket::Connect(server.port());
  }
  // An event that is always ready runs after each burst of accepts.
  std::array<int, 2> ready{};
  cr_assert_eq(pipe(ready.data()), 0);
  cr_assert_eq(write(ready[1], "x", 1), 1);
  std::size_t most = 0;
  auto watch = loop.WatchReadable(
      ready[0], [&] { most = std::max(most, server.connections()); });
  RunFor(loop, std::chrono::milliseconds(200));
  cr_assert_eq(server.connections(), kLimit);
  cr_assert_leq(most, kLimit + 1, "%zu connections", most);
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
