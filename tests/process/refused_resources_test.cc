#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

#include "integration/support/published_fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(refused_resources, .fini = &ChildProcess::KillAll, .timeout = 120);

constexpr uid_t kUnusedUser = 54322;
constexpr auto kOpenToOthers = std::filesystem::perms{0755};
constexpr auto kRefusedTime = std::chrono::seconds(6);

auto ReadLog(const PublishedStoreFleet& fleet, std::size_t gateway)
    -> std::string {
  std::ifstream file(fleet.folder() + "/gateway-" + std::to_string(gateway) +
                     ".log");
  return {std::istreambuf_iterator<char>(file), {}};
}

auto CountLines(const std::string& text, const std::string& part) -> int {
  int count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

// Returns the start of a command for which limits on tasks hold, which they
// don't for root. A process may change the limits of others of its user.
auto CommandOfUser() -> std::vector<std::string> {
  if (geteuid() != 0) {
    return {};
  }
  return {"setpriv", "--reuid=" + std::to_string(kUnusedUser),
          "--clear-groups"};
}

// Restarts all gateways, under a user of their own if possible, with a limit
// that `option` of the program prlimit sets.
auto RestartWithLimit(PublishedStoreFleet& fleet, const std::string& option)
    -> void {
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    fleet.gateway(i).Signal(SIGKILL);
    fleet.gateway(i).WaitForExit(kFleetTimeout);
  }
  // Other users may not enter the build folder.
  const std::filesystem::path folder = fleet.folder();
  std::filesystem::permissions(folder, kOpenToOthers);
  for (const auto* name :
       {"flamingoyoked-platform", "libflamingoyoked-platform.so"}) {
    std::filesystem::copy_file(ProgramPath(name), folder / name);
  }
  auto command = CommandOfUser();
  command.insert(command.begin(), "/usr/bin/env");
  command.insert(command.end(), {"prlimit", option,
                                 (folder / "flamingoyoked-platform").string()});
  fleet.SetGatewayCommand(command);
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    fleet.StartGateway(i);
  }
}

// Raises the soft limit on the tasks of a gateway to `tasks` while it runs.
auto RaiseTaskLimit(PublishedStoreFleet& fleet,
                    std::size_t gateway,
                    const std::string& tasks) -> void {
  auto arguments = CommandOfUser();
  arguments.insert(
      arguments.end(),
      {"prlimit", "--pid=" + std::to_string(fleet.gateway(gateway).pid()),
       "--nproc=" + tasks + ":"});
  ChildProcess change("/usr/bin/env", arguments);
  cr_assert_eq(change.WaitForExit(kFleetTimeout), 0);
}

// Aborts the test unless all gateways have waited for `what`, for long enough
// that restarts would be used up, and said so without filling the log.
auto CheckThatAllWait(PublishedStoreFleet& fleet, const std::string& what)
    -> void {
  std::this_thread::sleep_for(kRefusedTime);
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    cr_assert(fleet.gateway(i).IsRunning(), "gateway %zu ended", i);
    cr_assert_not(fleet.IsReady(i));
    const auto log = ReadLog(fleet, i);
    const auto lines = CountLines(log, "node: waiting to start: " + what);
    cr_assert(lines == 1 || lines == 2, "gateway %zu: %s", i, log.c_str());
  }
}

}  // namespace

// Guards against processes that end since a limit refuses them threads.
Test(refused_resources, gateways_wait_for_threads) {
  PublishedStoreFleet fleet(1, 20, 2);
  fleet.WaitForAll();
  RestartWithLimit(fleet, "--nproc=1:");
  CheckThatAllWait(fleet,
                   "the system grants no 4 threads: Resource temporarily "
                   "unavailable (tasks of the user 1,");
  rlimit limit{};
  getrlimit(RLIMIT_NPROC, &limit);
  const auto tasks = limit.rlim_max == RLIM_INFINITY
                         ? "unlimited"
                         : std::to_string(limit.rlim_max);
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    RaiseTaskLimit(fleet, i, tasks);
  }
  fleet.WaitForAll();
  fleet.gateway(0).Signal(SIGTERM);
  cr_assert_eq(fleet.gateway(0).WaitForExit(kFleetTimeout), 0);
}

// Guards against processes that end since a limit refuses them descriptors.
Test(refused_resources, gateways_wait_for_descriptors) {
  PublishedStoreFleet fleet(1, 20, 2);
  fleet.WaitForAll();
  RestartWithLimit(fleet, "--nofile=24");
  CheckThatAllWait(fleet,
                   "the system grants no 48 descriptors: Too many open files");
  fleet.gateway(0).Signal(SIGTERM);
  cr_assert_eq(fleet.gateway(0).WaitForExit(kFleetTimeout), 0);
}

// Guards against a process that cannot be stopped while it waits, and against
// one whose exit code tells of a failure.
Test(refused_resources, sigterm_ends_the_wait) {
  PublishedStoreFleet fleet(1, 20, 2);
  fleet.WaitForAll();
  RestartWithLimit(fleet, "--nproc=1:");
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    const auto waits = [&] {
      return CountLines(ReadLog(fleet, i), "waiting to start") > 0;
    };
    cr_assert(WaitUntil(waits, kFleetTimeout));
    const auto start = std::chrono::steady_clock::now();
    fleet.gateway(i).Signal(SIGTERM);
    cr_assert_eq(fleet.gateway(i).WaitForExit(kFleetTimeout), 0);
    cr_assert_lt(std::chrono::steady_clock::now() - start,
                 std::chrono::seconds(1));
  }
}

// Guards against a process that doesn't tell what limits hold for it, and what
// it takes of them.
Test(refused_resources, a_gateway_tells_its_limits_and_what_it_uses) {
  PublishedStoreFleet fleet(1, 20, 1);
  fleet.WaitForAll();
  cr_assert(ReadLog(fleet, 0).find("limits: tasks of the user ") !=
            std::string::npos);
  const auto admin = fleet.AddressesOf(0).back();
  const auto has_metrics = [&] {
    const auto metrics =
        fleet.http().Send({.server = admin, .target = "/metrics"}).body;
    return metrics.find("\nflamingoyoke_process_threads ") !=
               std::string::npos &&
           metrics.find("\nflamingoyoke_process_descriptors ") !=
               std::string::npos;
  };
  cr_assert(WaitUntil(has_metrics, kFleetTimeout));
}

}  // namespace flamingoyoke::integration
