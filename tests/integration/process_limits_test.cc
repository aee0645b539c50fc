#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

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

// Processor time that `pid` has used.
auto ProcessorTime(pid_t pid) -> std::chrono::duration<double> {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  // The fields after the name, which may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBeforeTimes = 11;
  std::string skipped;
  for (int i = 0; i < kFieldsBeforeTimes; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return std::chrono::duration<double>(
      (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

}  // namespace

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
