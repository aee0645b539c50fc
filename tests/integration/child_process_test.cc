#include "integration/support/child_process.h"

#include <criterion/criterion.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>

#include "integration/support/standins.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(child_process, .fini = &ChildProcess::KillAll, .timeout = 120);

constexpr int kCloseTimeoutMs = 2000;
constexpr auto kSignalTimeout = std::chrono::seconds(5);

// Whether process `pid` holds the file that descriptor `own` refers to.
auto Holds(pid_t pid, int own) -> bool {
  const auto file =
      std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(own));
  for (const auto& each : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(pid) + "/fd")) {
    if (std::filesystem::read_symlink(each) == file) {
      return true;
    }
  }
  return false;
}

}  // namespace

// Guards against processes of a test that keep connections of its callers open.
Test(child_process, holds_no_socket_of_the_test) {
  std::array<int, 2> ends{};
  cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  Upstream upstream;
  const auto pid = upstream.process().pid();
  cr_expect_not(Holds(pid, ends[0]));
  cr_expect_not(Holds(pid, ends[1]));
  close(ends[0]);
  pollfd peer{ends[1], POLLIN, 0};
  cr_expect_eq(poll(&peer, 1, kCloseTimeoutMs), 1, "the close is not seen");
  close(ends[1]);
}

// Guards against signals that a process ignores or blocks only because the test
// program does, which hides an early signal or a write to a closed pipe.
Test(child_process, starts_with_default_signals) {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t blocked;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &blocked, nullptr);
  for (const auto signal : {SIGPIPE, SIGTERM}) {
    ChildProcess child("/bin/sleep", {"60"});
    child.Signal(signal);
    cr_expect_eq(child.WaitForExit(kSignalTimeout), -signal);
  }
}

}  // namespace flamingoyoke::integration
