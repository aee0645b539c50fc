#ifndef FLAMINGOYOKE_RUNTIME_TASK_H_
#define FLAMINGOYOKE_RUNTIME_TASK_H_

#include <array>
#include <concepts>
#include <utility>

#include "core/name_table.h"
#include "core/result.h"
#include "runtime/event_loop.h"

namespace flamingoyoke {

// How a task is asked to stop, in order of urgency.
enum class StopMode {
  kNone,
  kGraceful,  // Finish accepted work, then exit.
  kHard,      // Answer the remaining work with its true outcome, exit at once.
};

template <>
struct EnumNames<StopMode> {
  static constexpr auto kTable = std::to_array<NameEntry<StopMode>>({
      {StopMode::kNone, "none"},
      {StopMode::kGraceful, "graceful"},
      {StopMode::kHard, "hard"},
  });
};
static_assert(IsDense<StopMode>());

// The interface of a task to the host that runs it. Use it on the task's
// thread only.
class TaskContext {
 public:
  // `is_restart` tells whether an earlier run of the task had started.
  explicit TaskContext(EventLoop& loop, bool is_restart = false)
      : loop_(loop), is_restart_(is_restart) {}

  [[nodiscard]] auto loop() -> EventLoop& { return loop_; }

  [[nodiscard]] auto is_restart() const -> bool { return is_restart_; }

  // Ends the task without an error after the current callback.
  auto Exit() -> void { loop_.Quit(); }

  // Ends the task with `error` after the current callback, so that its
  // supervisor restarts it. For errors in timer and socket callbacks; Start and
  // Handle return theirs.
  auto Abort(Error error) -> void {
    error_ = std::move(error);
    loop_.Quit();
  }

  [[nodiscard]] auto error() const -> const std::optional<Error>& {
    return error_;
  }

 private:
  EventLoop& loop_;
  const bool is_restart_;
  std::optional<Error> error_;
};

// A task owns its sockets and state, and is driven by one thread:
// - Start opens sockets and timers. `context` outlives the task.
// - Handle processes one message.
// - Stop is called each time the stop mode is raised. The task calls
//   context.Exit() once all accepted work is done.
template <typename T>
concept Task = requires(T task,
                        TaskContext& context,
                        typename T::Message message,
                        StopMode mode) {
  { task.Start(context) } -> std::same_as<Result<void>>;
  { task.Handle(std::move(message)) } -> std::same_as<Result<void>>;
  { task.Stop(mode) } -> std::same_as<void>;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_TASK_H_
