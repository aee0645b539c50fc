#ifndef FLAMINGOYOKE_RUNTIME_TASK_RUN_H_
#define FLAMINGOYOKE_RUNTIME_TASK_RUN_H_

#include <atomic>
#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "core/result.h"
#include "runtime/event_loop.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"

namespace flamingoyoke {

// One run of a task on an event loop, which other tasks may share: the task
// with its part of the loop, driven by its mailbox. Not thread-safe: create,
// use and destroy it on the loop's thread.
template <Task T>
class TaskRun {
 public:
  using Factory = std::function<std::unique_ptr<T>()>;

  // `on_end` is called within a callback of the task when the task has ended,
  // and must not destroy the run. `is_restart` tells whether an earlier run had
  // started. The other arguments must outlive the run.
  TaskRun(EventLoop& loop,
          Mailbox<typename T::Message>& mailbox,
          const std::atomic<StopMode>& stop_mode,
          EventLoop::Callback on_end,
          bool is_restart)
      : mailbox_(mailbox),
        stop_mode_(stop_mode),
        loop_(loop,
              {.on_quit = std::move(on_end),
               .on_exception =
                   [this](const std::exception& exception) {
                     context_.Abort(ToError(exception));
                   }}),
        context_(loop_, is_restart) {}

  TaskRun(const TaskRun&) = delete;
  auto operator=(const TaskRun&) -> TaskRun& = delete;

  // Makes and starts the task. Returns the error if that fails; the run must
  // then be destroyed. Call once.
  auto Start(const Factory& factory) -> std::optional<Error> {
    auto error = CaptureError([&]() -> Result<void> {
      task_ = factory();
      return task_->Start(context_);
    });
    if (!error) {
      watch_ = loop_.WatchReadable(mailbox_.descriptor(), [this] { OnWake(); });
      // Handles messages and stop requests that arrived before the watch.
      mailbox_.Wake();
    }
    return error;
  }

  // Tells the task to end now. It is destroyed with the run, whether it has
  // ended or not. Precondition: Start succeeded.
  auto StopNow() -> void {
    loop_.Invoke([this] { task_->Stop(StopMode::kHard); });
  }

  // The error that the task ended with, if any.
  [[nodiscard]] auto error() const -> const std::optional<Error>& {
    return context_.error();
  }

 private:
  // Messages handled before other tasks on the loop have their turn.
  static constexpr std::size_t kMaxBatch = 64;

  auto OnWake() -> void {
    auto messages = mailbox_.TakeAll();
    for (std::size_t handled = 0; !messages.empty(); ++handled) {
      // A stop waits for all messages before it, but for no later ones.
      if (handled >= kMaxBatch && stop_mode_.load() <= signaled_mode_) {
        mailbox_.PutBack(std::move(messages));
        mailbox_.Wake();
        return;
      }
      auto message = std::move(messages.front());
      messages.pop_front();
      auto failure =
          CaptureError([&] { return task_->Handle(std::move(message)); });
      if (failure) {
        mailbox_.PutBack(std::move(messages));
        context_.Abort(std::move(*failure));
        return;
      }
    }
    const auto mode = stop_mode_.load();
    if (mode > signaled_mode_) {
      signaled_mode_ = mode;
      task_->Stop(mode);
    }
  }

  Mailbox<typename T::Message>& mailbox_;
  const std::atomic<StopMode>& stop_mode_;
  EventLoop loop_;
  TaskContext context_;
  std::unique_ptr<T> task_;
  EventLoop::Handle watch_;
  StopMode signaled_mode_ = StopMode::kNone;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_TASK_RUN_H_
