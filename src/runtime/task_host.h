#ifndef FLAMINGOYOKE_RUNTIME_TASK_HOST_H_
#define FLAMINGOYOKE_RUNTIME_TASK_HOST_H_

#include <atomic>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "core/result.h"
#include "runtime/event_loop.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace flamingoyoke {

// Runs one task at a time on a dedicated thread. The mailbox outlives the
// task, so messages sent during a restart are kept.
template <Task T>
class TaskHost {
 public:
  using Factory = std::function<std::unique_ptr<T>()>;
  // Called on the task's thread when it ends, or by Start if the thread was
  // refused; `error` is empty after a regular exit.
  using OnExit = std::function<void(std::optional<Error> error)>;

  // `name` identifies the task in logs. `mailbox` must outlive the host.
  // `factory` makes the task at each start.
  TaskHost(std::string name,
           Mailbox<typename T::Message>& mailbox,
           Factory factory)
      : name_(std::move(name)),
        mailbox_(mailbox),
        factory_(std::move(factory)) {}

  TaskHost(const TaskHost&) = delete;
  auto operator=(const TaskHost&) -> TaskHost& = delete;

  ~TaskHost() {
    RequestStop(StopMode::kHard);
    Join();
  }

  // Starts a new task. Precondition: none is running (Join was called after
  // the last exit).
  auto Start(const OnExit& on_exit) -> void {
    try {
      thread_ = std::thread([this, on_exit] { on_exit(RunTask()); });
    } catch (const std::exception& exception) {
      on_exit(Error{ErrorKind::kInternal,
                    "cannot start a thread: " + std::string(exception.what())});
    }
  }

  // Asks the task to stop. Later calls can only raise the mode. Thread-safe.
  auto RequestStop(StopMode mode) -> void {
    auto current = stop_mode_.load();
    while (current < mode && !stop_mode_.compare_exchange_weak(current, mode)) {
    }
    mailbox_.Wake();
  }

  // Waits until the thread of the task has ended.
  auto Join() -> void {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  [[nodiscard]] auto name() const -> const std::string& { return name_; }

 private:
  auto RunTask() -> std::optional<Error> {
    try {
      EventLoop loop;
      TaskContext context(loop);
      const auto error = CaptureError([&] { return RunIn(context); });
      return error ? error : context.error();
    } catch (const std::exception& exception) {
      return Error{ErrorKind::kInternal, exception.what()};
    }
  }

  auto RunIn(TaskContext& context) -> Result<void> {
    auto task = factory_();
    BOOST_LEAF_CHECK(task->Start(context));
    auto signaled_mode = StopMode::kNone;
    std::optional<Error> failure;
    const auto on_wake = [&] {
      failure = CaptureError([&] { return HandleAll(*task); });
      if (failure) {
        context.loop().Quit();
        return;
      }
      const auto mode = stop_mode_.load();
      if (mode > signaled_mode) {
        signaled_mode = mode;
        task->Stop(mode);
      }
    };
    auto watch = context.loop().WatchReadable(mailbox_.descriptor(), on_wake);
    // Handles messages and stop requests that arrived before the watch.
    mailbox_.Wake();
    context.loop().Run();
    if (failure) {
      return Fail(failure->kind, failure->detail);
    }
    return {};
  }

  auto HandleAll(T& task) -> Result<void> {
    auto messages = mailbox_.TakeAll();
    while (!messages.empty()) {
      auto message = std::move(messages.front());
      messages.pop_front();
      const auto failure =
          CaptureError([&] { return task.Handle(std::move(message)); });
      if (failure) {
        mailbox_.PutBack(std::move(messages));
        return Fail(failure->kind, failure->detail);
      }
    }
    return {};
  }

  const std::string name_;
  Mailbox<typename T::Message>& mailbox_;
  Factory factory_;
  std::atomic<StopMode> stop_mode_ = StopMode::kNone;
  std::thread thread_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_TASK_HOST_H_
