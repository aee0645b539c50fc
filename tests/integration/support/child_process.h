#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_CHILD_PROCESS_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_CHILD_PROCESS_H_

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace flamingoyoke::integration {

// Output streams of a child process that the test reads.
enum class CapturedOutput { kStdout, kStdoutAndStderr };

// A file to which the output of a child process is appended.
struct OutputFile {
  std::string path;
};

// A pipe of the smallest size to which standard output and standard error of a
// child process are written and from which nobody reads.
struct UnreadPipe {};

using ChildOutput = std::variant<CapturedOutput, OutputFile, UnreadPipe>;

// A child process of a test. The destructor kills it by its process id. Not
// thread-safe.
class ChildProcess {
 public:
  // Starts `program` with `arguments`. Aborts the test if that fails.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const ChildOutput& output = CapturedOutput::kStdout);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  auto operator=(ChildProcess&& other) noexcept -> ChildProcess&;

  // Waits for the line "<name> <number>" in the output and returns the
  // number. Aborts the test if it does not come within `limit`. Precondition:
  // the output is captured.
  auto ReadNumber(const std::string& name, std::chrono::seconds limit) -> int;

  // Returns everything written until the process closes its output.
  // Aborts the test after `limit`.
  auto ReadAll(std::chrono::seconds limit) -> std::string;

  // Returns the number of bytes in the pipe to which the process writes.
  // Precondition: the output is a pipe that is not closed.
  [[nodiscard]] auto UnreadBytes() const -> int;

  // Closes the read end of the pipe to which the process writes.
  auto CloseOutput() -> void;

  // Sends `signal`. Precondition: the process has not been waited for.
  auto Signal(int signal) const -> void;

  // Waits until the process ends and returns its exit code, or minus the
  // number of the signal that ended it. Aborts the test after `limit`.
  auto WaitForExit(std::chrono::seconds limit) -> int;

  // Returns whether the process runs.
  auto IsRunning() -> bool;

  [[nodiscard]] auto pid() const -> pid_t { return pid_; }

  // Kills every running child process of this test program. Used as `.fini` of
  // test suites, since an aborted test runs no destructors.
  static auto KillAll() -> void;

 private:
  // Collects the exit status if the process has ended.
  auto Poll() -> void;
  // Reads more output into `output_`; returns false at the end of the output.
  auto ReadMore(std::chrono::steady_clock::time_point deadline) -> bool;
  auto KillIfRunning() -> void;

  pid_t pid_ = -1;
  int output_descriptor_ = -1;
  std::string output_;
  std::optional<int> exit_code_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_CHILD_PROCESS_H_
