#include "daemon/startup_wait.h"

#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <ctime>
#include <stdexcept>
#include <string>

#include "core/time.h"
#include "node/log.h"

namespace flamingoyoke {
namespace {

constexpr Duration kFirstDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxDelay = std::chrono::milliseconds(1600);

// Blocks the signals that stop the process for the life of the object, so that
// Wait receives them. Threads that start meanwhile inherit this, which leaves
// the signals to the main thread.
class StopSignals {
 public:
  StopSignals() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, &before_);
  }
  ~StopSignals() { pthread_sigmask(SIG_SETMASK, &before_, nullptr); }
  StopSignals(const StopSignals&) = delete;
  auto operator=(const StopSignals&) -> StopSignals& = delete;

  // Returns whether a signal arrived within `timeout`, or before.
  auto Wait(Duration timeout) -> bool {
    const auto seconds = std::chrono::floor<std::chrono::seconds>(timeout);
    const timespec interval = {
        .tv_sec = seconds.count(),
        .tv_nsec = std::chrono::nanoseconds(timeout - seconds).count()};
    return sigtimedwait(&signals_, nullptr, &interval) > 0;
  }

 private:
  sigset_t signals_{};
  sigset_t before_{};
};

// Lines are written by this thread until the log has its own, and a blocked
// write would delay the stop.
auto IsOutputWritable() -> bool {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) > 0;
}

auto LogIfWritable(LogLevel level, const std::string& message) -> void {
  if (IsOutputWritable()) {
    Log(Part::kNode, level, message);
  }
}

}  // namespace

auto RetryWhileRefused(const std::function<Result<void>()>& step)
    -> StartupResult {
  StopSignals stop_signals;
  auto error = CaptureError(step);
  auto delay = kFirstDelay;
  while (error) {
    if (error->kind != ErrorKind::kResourceRefused) {
      throw std::runtime_error(error->detail);
    }
    LogIfWritable(LogLevel::kWarning, "waiting to start: " + error->detail);
    if (stop_signals.Wait(delay)) {
      LogIfWritable(LogLevel::kInfo, "stopped before the start");
      return StartupResult::kStopped;
    }
    delay = std::min(2 * delay, kMaxDelay);
    error = CaptureError(step);
  }
  return stop_signals.Wait(Duration::zero()) ? StartupResult::kStopped
                                             : StartupResult::kDone;
}

}  // namespace flamingoyoke
