#ifndef FLAMINGOYOKE_DAEMON_STARTUP_WAIT_H_
#define FLAMINGOYOKE_DAEMON_STARTUP_WAIT_H_

#include <functional>

#include "core/result.h"

namespace flamingoyoke {

// How a step of the start ended.
enum class StartupResult {
  kDone,
  kStopped,  // SIGTERM or SIGINT arrived while the step was waited for.
};

template <>
struct EnumNames<StartupResult> {
  static constexpr auto kTable = std::to_array<NameEntry<StartupResult>>({
      {StartupResult::kDone, "done"},
      {StartupResult::kStopped, "stopped"},
  });
};
static_assert(IsDense<StartupResult>());

// Calls `step` again, with back-off, as long as it fails with kResourceRefused
// or an exception that stands for it, and logs what it waits for. SIGTERM and
// SIGINT end the wait at once. Throws std::runtime_error if the step fails
// otherwise. Preconditions: ConfigureLog was called; the process has no other
// thread that handles these signals, and no SignalWatch.
auto RetryWhileRefused(const std::function<Result<void>()>& step)
    -> StartupResult;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DAEMON_STARTUP_WAIT_H_
