#include "node/log.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <string>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Redirects standard output to a pipe and returns the read end.
auto PipeStandardOutput() -> int {
  std::array<int, 2> ends = {};
  cr_assert_eq(pipe(ends.data()), 0);
  cr_assert_neq(dup2(ends[1], STDOUT_FILENO), -1);
  close(ends[1]);
  return ends[0];
}

}  // namespace

// Guards against tasks that block, and a process that does not exit, because
// the log is not read and its pipe is full (64 KiB on Linux).
Test(log, full_pipe_does_not_block_tasks) {
  std::signal(SIGPIPE, SIG_IGN);
  const int reader = PipeStandardOutput();
  ConfigureLog(LogLevel::kInfo, LogFormat::kText);
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
  const int reader = PipeStandardOutput();
  ConfigureLog(LogLevel::kInfo, LogFormat::kText);
  Log(Part::kNode, LogLevel::kInfo, "the last line");
  cr_assert(StopLog(milliseconds(2000)));
  std::array<char, 256> text = {};
  cr_assert_gt(read(reader, text.data(), text.size() - 1), 0);
  cr_assert(std::string(text.data()).find("node: the last line") !=
            std::string::npos);
  close(reader);
}

}  // namespace flamingoyoke
