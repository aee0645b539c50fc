#ifndef FLAMINGOYOKE_RUNTIME_TASK_RUN_H_
#define FLAMINGOYOKE_RUNTIME_TASK_RUN_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "core/result.h"
#include "core/time.h"
#include "runtime/clock.h"
#include "runtime/event_loop.h"
#include "runtime/mailbox.h"
#include "runtime/task.h"
#include "runtime/task_placement.h"

namespace flamingoyoke {

// How a run of a task starts.
struct TaskStart {
  TaskPlacement placement = TaskPlacement::kOwnThread;
  // Whether an earlier run had started.
  bool is_restart = false;
};

// One run of a task on an event loop, which other tasks may share: the task
// with its part of the loop, driven by its mailbox. Not thread-safe: create,
// use and destroy it on the loop's thread.
template <Task T>
class TaskRun {
 public:
  using Factory = std::function<std::unique_ptr<T>()>;

  // `on_end` is called within a callback of the task when the task has ended,
  // and must not destroy the run. The first three arguments must outlive it.
  TaskRun(EventLoop& loop,
          Mailbox<typename T::Message>& mailbox,
          const std::atomic<StopMode>& stop_mode,
          EventLoop::Callback on_end,
          const TaskStart& start)
      : mailbox_(mailbox),
        stop_mode_(stop_mode),
        loop_(loop,
              {.on_quit = std::move(on_end),
               .on_exception =
                   [this](const std::exception& exception) {
                     context_.Abort(ToError(exception));
                   }}),
        context_(loop_, start.is_restart),
        placement_(start.placement) {}

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
      WatchMailbox();
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
  // Messages handled before other tasks on the loop have their turn, and the
  // time after which they have it earlier. Sockets of the task itself have as
  // much time before the next messages.
  static constexpr std::size_t kMaxBatch = 64;
  static constexpr Duration kMaxBusy = std::chrono::milliseconds(20);

  auto WatchMailbox() -> void {
    if (placement_ == TaskPlacement::kSupervisorLoop) {
      watch_ = loop_.WatchReadable(mailbox_.descriptor(), [this] { OnWake(); });
      return;
    }
    // A task with a thread of its own serves many sockets. What other tasks say
    // may concern them all, and must not wait behind them.
    watch_ = loop_.WatchReadablePromptly(mailbox_.descriptor(),
                                         [this] { OnPromptWake(); });
    resume_ = loop_.MakePromptTimer([this] {
      watch_.Resume();
      OnPromptWake();
    });
  }

  auto OnWake() -> void {
    if (!HandleBatch(Now() + kMaxBusy)) {
      mailbox_.Wake();
    }
  }

  // Handles messages before the sockets that wait, for at most half of the
  // time.
  auto OnPromptWake() -> void {
    const auto begin = Now();
    busy_ = std::max(busy_ - (begin - last_batch_), Duration::zero());
    const bool is_done = HandleBatch(begin + kMaxBusy - busy_);
    last_batch_ = Now();
    busy_ += last_batch_ - begin;
    if (!is_done || busy_ >= kMaxBusy) {
      watch_.Cancel();
      resume_.Schedule(busy_);
    }
  }

  // Handles messages until `end`, and at least one of them. Returns false if
  // others are left.
  auto HandleBatch(TimePoint end) -> bool {
    auto messages = mailbox_.TakeAll();
    for (std::size_t handled = 0; !messages.empty(); ++handled) {
      // A stop waits for all messages before it, but for no later ones.
      const bool is_over =
          handled >= kMaxBatch || (handled > 0 && Now() >= end);
      if (is_over && stop_mode_.load() <= signaled_mode_) {
        mailbox_.PutBack(std::move(messages));
        return false;
      }
      auto message = std::move(messages.front());
      messages.pop_front();
      auto failure =
          CaptureError([&] { return task_->Handle(std::move(message)); });
      if (failure) {
        mailbox_.PutBack(std::move(messages));
        context_.Abort(std::move(*failure));
        return true;
      }
    }
    const auto mode = stop_mode_.load();
    if (mode > signaled_mode_) {
      signaled_mode_ = mode;
      task_->Stop(mode);
    }
    return true;
  }

  Mailbox<typename T::Message>& mailbox_;
  const std::atomic<StopMode>& stop_mode_;
  EventLoop loop_;
  TaskContext context_;
  const TaskPlacement placement_;
  std::unique_ptr<T> task_;
  EventLoop::Handle watch_;
  // Watches the mailbox again after long batches.
  EventLoop::Handle resume_;
  TimePoint last_batch_;
  // Time that messages took lately, less the time between them.
  Duration busy_ = Duration::zero();
  StopMode signaled_mode_ = StopMode::kNone;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_TASK_RUN_H_
