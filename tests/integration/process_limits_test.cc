#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "integration/support/gateway_figures.h"
#include "integration/support/published_fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(process_limits, .fini = &ChildProcess::KillAll, .timeout = 120);

constexpr int kOk = 200;

// Limits the descriptors of this process and of those that it starts.
auto LimitDescriptors(rlim_t count) -> void {
  const rlimit limit = {count, count};
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
}

// Opens a connection that sends nothing. The test closes it.
auto ConnectIdle(const NamedEndpoint& server) -> int {
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  cr_assert_geq(caller, 0, "the test has no descriptor left");
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server.endpoint.port);
  inet_pton(AF_INET, server.host.c_str(), &address.sin_addr);
  cr_assert_eq(
      connect(caller, reinterpret_cast<sockaddr*>(&address), sizeof(address)),
      0);
  return caller;
}

// Sends a request on `caller` without waiting for its answer.
auto SendOrder(int caller, const std::string& host, int number) -> void {
  const auto request = "POST /book/1 HTTP/1.1\r\nHost: " + host +
                       "\r\nX-Request-Id: order-" + std::to_string(number) +
                       "\r\nX-Request-Deadline-Ms: 15000\r\n"
                       "Content-Length: 5\r\n\r\norder";
  send(caller, request.data(), request.size(), MSG_NOSIGNAL);
}

// Returns the status of the next answer on `caller`, or 0 if the connection
// ends before it.
auto ReadStatus(int caller) -> int {
  constexpr std::size_t kStatusStart = 9;
  constexpr std::size_t kStatusSize = 3;
  const timeval limit{.tv_sec = 20, .tv_usec = 0};
  setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  std::string text(kStatusStart + kStatusSize, 0);
  return recv(caller, text.data(), text.size(), MSG_WAITALL) ==
                 static_cast<ssize_t>(text.size())
             ? std::stoi(text.substr(kStatusStart))
             : 0;
}

// Starts a fleet in which gateway 0 may open `descriptors` descriptors and
// `gateway_count` - 1 gateways run, with targets that are slow.
auto StartLimitedFleet(PublishedStoreFleet& fleet, int descriptors) -> void {
  const auto limit = std::to_string(descriptors);
  fleet.SetLauncher(0, {"prlimit", "--nofile=" + limit + ":" + limit});
  const auto host = PublishedStoreFleet::AddressOf(0);
  fleet.PublishConfig(
      {{"version", "r1"},
       {"routes",
        {{"book",
          {{"host", host},
           {"prefix", "/book/"},
           {"kind", "unsafe"},
           {"timeout_ms", 15'000},
           {"slo_ms", 10'000},
           {"priority", 1},
           {"service", "orders"},
           {"max_attempts", 2}}}}},
       {"services",
        {{"orders", {{"health_path", "/health"}, {"max_conns", 600}}}}},
       {"limits",
        {{"max_header_bytes", 16'384}, {"max_body_bytes", 1'048'576}}}});
  for (std::size_t i = 0; i + 1 < fleet.gateways(); ++i) {
    fleet.StartGateway(i);
  }
  for (std::size_t i = 0; i + 1 < fleet.gateways(); ++i) {
    cr_assert(WaitUntil([&] { return fleet.IsReady(i); }, kFleetTimeout));
  }
}

}  // namespace

// Guards against a gateway whose callers and target connections leave no
// descriptor for peers, the store and operators, and whose thread spins.
Test(process_limits, busy_callers_leave_descriptors_for_peers_and_store) {
  constexpr int kDescriptors = 128;
  constexpr std::size_t kGateways = 4;
  constexpr int kCallers = 96;
  PublishedStoreFleet fleet({.targets = {{"orders", 4}},
                             .service_ms = 10'000,
                             .slots = 60,
                             .gateways = kGateways});
  StartLimitedFleet(fleet, kDescriptors);
  std::vector<int> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(ConnectIdle(fleet.FrontOf(0)));
    SendOrder(callers.back(), PublishedStoreFleet::AddressOf(0), i);
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto activated = CountLogLines(fleet, 0, "activated shard");
  fleet.StartGateway(kGateways - 1);
  const auto before = ProcessorTime(fleet.gateway(0).pid());
  const auto started = std::chrono::steady_clock::now();
  fleet.PublishRoutes("r2", {"/book/", "/new/"});
  const auto is_read = WaitUntil(
      [&] { return CountLogLines(fleet, 0, "activated shard") > activated; },
      std::chrono::seconds(2));
  std::this_thread::sleep_until(started + std::chrono::seconds(3));
  const auto used = ProcessorTime(fleet.gateway(0).pid()) - before;
  const auto has_peers =
      WaitUntil([&] { return HasAllPeers(fleet, kGateways - 1); },
                std::chrono::seconds(6));
  const auto is_live = fleet.http()
                           .Send({.server = fleet.AddressesOf(0).back(),
                                  .target = "/livez",
                                  .timeout = std::chrono::seconds(1)})
                           .status == kOk;
  int answered = 0;
  for (const int caller : callers) {
    answered += ReadStatus(caller) == kOk ? 1 : 0;
    close(caller);
  }
  cr_expect_lt(used.count(), 0.6, "used %.2f s in 3 s", used.count());
  cr_expect(is_read, "the new configuration is not in force");
  cr_expect(has_peers, "the added gateway has no two-way link to all others");
  cr_expect(is_live, "no answer to an operator");
  cr_expect_gt(answered, 0);
}

// Guards against a gateway that uses a whole core, fills its log and accepts no
// connection, of callers or peers, while idle callers hold all descriptors.
Test(process_limits, idle_callers_leave_descriptors_for_others) {
  constexpr rlim_t kDescriptors = 256;
  constexpr int kIdleCallers = 200;
  constexpr std::uintmax_t kMaxLogBytes = 100'000;
  LimitDescriptors(kDescriptors);
  PublishedStoreFleet fleet(2, 20, 2);
  fleet.WaitForAll();
  std::vector<int> idle;
  idle.reserve(kIdleCallers);
  for (int i = 0; i < kIdleCallers; ++i) {
    idle.push_back(ConnectIdle(fleet.FrontOf(0)));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto before = ProcessorTime(fleet.gateway(0).pid());
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto used = ProcessorTime(fleet.gateway(0).pid()) - before;
  cr_assert_lt(used.count(), 0.3, "used %.2f s in 1 s", used.count());
  cr_assert_lt(std::filesystem::file_size(fleet.folder() + "/gateway-0.log"),
               kMaxLogBytes);
  // The address for operators does not share the bound of callers.
  const auto admin = fleet.AddressesOf(0).back();
  cr_assert_eq(fleet.http().Send({.server = admin, .target = "/livez"}).status,
               kOk);
  for (const int caller : idle) {
    close(caller);
  }
  cr_assert(WaitUntil([&] { return fleet.IsReady(0); }, kFleetTimeout));
  cr_assert_eq(fleet.Call(0, "/book/1", "order-1").status, kOk);
  fleet.gateway(0).Signal(SIGTERM);
  cr_assert_eq(fleet.gateway(0).WaitForExit(kFleetTimeout), 0);
}

// Guards against a process that SIGXFSZ ends, with all requests in flight, when
// its log reaches the limit on the size of files.
Test(process_limits, full_log_file_ends_no_process) {
  constexpr rlim_t kFileBytes = 4096;
  rlimit limit{};
  getrlimit(RLIMIT_FSIZE, &limit);
  limit.rlim_cur = kFileBytes;
  cr_assert_eq(setrlimit(RLIMIT_FSIZE, &limit), 0);
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  const auto log = fleet.folder() + "/gateway-0.log";
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i) {
    cr_assert_eq(fleet.Call(0, "/book/1", "order-" + std::to_string(i)).status,
                 kOk);
  }
  cr_assert(
      WaitUntil([&] { return std::filesystem::file_size(log) == kFileBytes; },
                kFleetTimeout));
  cr_assert_eq(fleet.Call(0, "/book/1", "last-order").status, kOk);
  fleet.gateway(0).Signal(SIGTERM);
  cr_assert_eq(fleet.gateway(0).WaitForExit(kFleetTimeout), 0);
}

}  // namespace flamingoyoke::integration
