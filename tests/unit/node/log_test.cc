#include "node/log.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <string>

#include "runtime/event_loop.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Redirects `output` to a pipe and returns the read end.
auto PipeOutput(int output) -> int {
  std::array<int, 2> ends = {};
  cr_assert_eq(pipe(ends.data()), 0);
  cr_assert_neq(dup2(ends[1], output), -1);
  close(ends[1]);
  return ends[0];
}

}  // namespace

// Guards against tasks that block, and a process that does not exit, because
// the log is not read and its pipe is full (64 KiB on Linux).
Test(log, full_pipe_does_not_block_tasks) {
  std::signal(SIGPIPE, SIG_IGN);
  const int reader = PipeOutput(STDOUT_FILENO);
  ConfigureLog(LogLevel::kInfo, LogFormat::kText);
  StartLogWriter();
  const auto start = steady_clock::now();
  const std::string filler(1000, 'x');
  for (int i = 0; i < 2000; ++i) {
    Log(Part::kNode, LogLevel::kInfo, std::to_string(i) + filler);
  }
  cr_assert(!StopLog(milliseconds(100)));
  cr_assert_lt(steady_clock::now() - start, milliseconds(2000));
  // Unblocks the writer thread.
  close(reader);
}

// Guards against losing queued lines when the process exits.
Test(log, stop_flushes_queued_lines) {
  const int reader = PipeOutput(STDOUT_FILENO);
  ConfigureLog(LogLevel::kInfo, LogFormat::kText);
  StartLogWriter();
  Log(Part::kNode, LogLevel::kInfo, "the last line");
  cr_assert(StopLog(milliseconds(2000)));
  std::array<char, 256> text = {};
  cr_assert_gt(read(reader, text.data(), text.size() - 1), 0);
  cr_assert(std::string(text.data()).find("node: the last line") !=
            std::string::npos);
  close(reader);
}

// Guards against tasks that block in a warning of libevent, because nobody
// reads standard error and its pipe is full.
Test(log, takes_the_warnings_of_libevent) {
  const int reader = PipeOutput(STDOUT_FILENO);
  const int errors = PipeOutput(STDERR_FILENO);
  ConfigureLog(LogLevel::kInfo, LogFormat::kText);
  StartLogWriter();
  EventLoop loop;
  auto timer = loop.MakeTimer([&] {
    // libevent warns of a loop that is run by its own callback.
    loop.Run();
    loop.Quit();
  });
  timer.Schedule(milliseconds(0));
  loop.Run();
  cr_assert(StopLog(milliseconds(2000)));
  close(STDERR_FILENO);
  std::array<char, 256> text = {};
  cr_assert_eq(read(errors, text.data(), text.size() - 1), 0,
               "standard error: %s", text.data());
  cr_assert_gt(read(reader, text.data(), text.size() - 1), 0);
  cr_assert(std::string(text.data()).find("warning node: libevent: ") !=
                std::string::npos,
            "%s", text.data());
  close(errors);
  close(reader);
}

// Guards against losing the lines of a process that waits for its log thread.
Test(log, writes_lines_before_its_thread_starts) {
  const int reader = PipeOutput(STDOUT_FILENO);
  ConfigureLog(LogLevel::kInfo, LogFormat::kJson);
  Log(Part::kNode, LogLevel::kDebug, "too detailed");
  Log(Part::kNode, LogLevel::kWarning, "an early line");
  std::array<char, 256> text = {};
  cr_assert_gt(read(reader, text.data(), text.size() - 1), 0);
  cr_assert_eq(text.front(), '{');
  cr_assert(std::string(text.data()).find("node: an early line") !=
            std::string::npos);
  close(reader);
}

}  // namespace flamingoyoke
