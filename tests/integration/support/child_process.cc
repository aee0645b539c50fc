#include "integration/support/child_process.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/ioctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

#include "core/overloaded.h"

namespace flamingoyoke::integration {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr std::size_t kReadSize = 65'536;
constexpr int kSmallPipe = 4096;

// Child processes that have been started and not yet reaped.
auto RunningPids() -> std::vector<pid_t>& {
  static std::vector<pid_t> pids;
  return pids;
}

auto RemovePid(pid_t pid) -> void {
  auto& pids = RunningPids();
  pids.erase(std::remove(pids.begin(), pids.end(), pid), pids.end());
}

auto ToExitCode(int status) -> int {
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

auto Spawn(const std::string& program,
           const std::vector<std::string>& arguments,
           int output,
           bool has_stderr) -> pid_t {
  std::vector<char*> argv = {const_cast<char*>(program.c_str())};
  for (const auto& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output, STDOUT_FILENO);
  if (has_stderr) {
    posix_spawn_file_actions_adddup2(&actions, output, STDERR_FILENO);
  }
  // An inherited socket would keep a connection open after its caller closes
  // it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  // Ignored and blocked signals are inherited too.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  posix_spawnattr_setflags(&attributes,
                           POSIX_SPAWN_SETSIGDEF | POSIX_SPAWN_SETSIGMASK);
  sigset_t signals;
  sigfillset(&signals);
  posix_spawnattr_setsigdefault(&attributes, &signals);
  sigemptyset(&signals);
  posix_spawnattr_setsigmask(&attributes, &signals);
  pid_t pid = -1;
  const auto error = posix_spawn(&pid, program.c_str(), &actions, &attributes,
                                 argv.data(), environ);
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  cr_assert_eq(error, 0, "cannot start %s", program.c_str());
  return pid;
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const ChildOutput& output) {
  std::visit(
      Overloaded{[&](const OutputFile& file) {
                   constexpr mode_t kMode = 0600;
                   const int log =
                       open(file.path.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kMode);
                   cr_assert_geq(log, 0, "cannot open %s", file.path.c_str());
                   pid_ = Spawn(program, arguments, log, true);
                   close(log);
                 },
                 [&](CapturedOutput captured) {
                   std::array<int, 2> ends{};
                   cr_assert_eq(pipe2(ends.data(), O_CLOEXEC), 0);
                   pid_ = Spawn(program, arguments, ends[1],
                                captured == CapturedOutput::kStdoutAndStderr);
                   close(ends[1]);
                   output_descriptor_ = ends[0];
                 },
                 [&](UnreadPipe) {
                   std::array<int, 2> ends{};
                   cr_assert_eq(pipe2(ends.data(), O_CLOEXEC), 0);
                   cr_assert_geq(fcntl(ends[1], F_SETPIPE_SZ, kSmallPipe), 0);
                   pid_ = Spawn(program, arguments, ends[1], true);
                   close(ends[1]);
                   output_descriptor_ = ends[0];
                 }},
      output);
  RunningPids().push_back(pid_);
}

ChildProcess::~ChildProcess() {
  KillIfRunning();
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      output_descriptor_(std::exchange(other.output_descriptor_, -1)),
      output_(std::move(other.output_)),
      exit_code_(other.exit_code_) {}

auto ChildProcess::operator=(ChildProcess&& other) noexcept -> ChildProcess& {
  if (this != &other) {
    KillIfRunning();
    pid_ = std::exchange(other.pid_, -1);
    output_descriptor_ = std::exchange(other.output_descriptor_, -1);
    output_ = std::move(other.output_);
    exit_code_ = other.exit_code_;
  }
  return *this;
}

auto ChildProcess::ReadNumber(const std::string& name,
                              std::chrono::seconds limit) -> int {
  const auto deadline = SteadyClock::now() + limit;
  const auto label = name + " ";
  while (true) {
    const auto start = output_.compare(0, label.size(), label) == 0
                           ? 0
                           : output_.find("\n" + label);
    if (start != std::string::npos &&
        output_.find('\n', start + 1) != std::string::npos) {
      return std::atoi(output_.c_str() + output_.find(label, start) +
                       label.size());
    }
    cr_assert(ReadMore(deadline), "no line `%s`", name.c_str());
  }
}

auto ChildProcess::ReadAll(std::chrono::seconds limit) -> std::string {
  const auto deadline = SteadyClock::now() + limit;
  while (ReadMore(deadline)) {
  }
  return output_;
}

auto ChildProcess::UnreadBytes() const -> int {
  int bytes = 0;
  cr_assert_eq(ioctl(output_descriptor_, FIONREAD, &bytes), 0);
  return bytes;
}

auto ChildProcess::CloseOutput() -> void {
  close(std::exchange(output_descriptor_, -1));
}

auto ChildProcess::Signal(int signal) const -> void {
  cr_assert_not(exit_code_.has_value(), "the process has already exited");
  cr_assert_eq(kill(pid_, signal), 0);
}

auto ChildProcess::WaitForExit(std::chrono::seconds limit) -> int {
  const auto deadline = SteadyClock::now() + limit;
  while (IsRunning()) {
    cr_assert(SteadyClock::now() < deadline,
              "the process did not exit in time");
    std::this_thread::sleep_for(kPollInterval);
  }
  return *exit_code_;
}

auto ChildProcess::IsRunning() -> bool {
  Poll();
  return !exit_code_.has_value();
}

auto ChildProcess::KillAll() -> void {
  for (const auto pid : std::vector<pid_t>(RunningPids())) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  RunningPids().clear();
}

auto ChildProcess::Poll() -> void {
  int status = 0;
  if (!exit_code_ && waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_code_ = ToExitCode(status);
    RemovePid(pid_);
  }
}

auto ChildProcess::ReadMore(SteadyClock::time_point deadline) -> bool {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - SteadyClock::now());
  pollfd readable{output_descriptor_, POLLIN, 0};
  const auto ready =
      poll(&readable, 1, static_cast<int>(std::max(left.count(), 0L)));
  cr_assert_gt(ready, 0, "timed out while waiting for output");
  std::array<char, kReadSize> bytes{};
  const auto size = read(output_descriptor_, bytes.data(), bytes.size());
  if (size <= 0) {
    return false;
  }
  output_.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

auto ChildProcess::KillIfRunning() -> void {
  if (pid_ > 0 && !exit_code_) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    RemovePid(pid_);
  }
  if (output_descriptor_ >= 0) {
    close(output_descriptor_);
  }
}

}  // namespace flamingoyoke::integration
