#ifndef FLAMINGOYOKE_RUNTIME_TASK_HOST_H_
#define FLAMINGOYOKE_RUNTIME_TASK_HOST_H_

#include <atomic>
#include <exception>
#include <functional>
#include <memory>
#include <new>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

#include "core/result.h"
#include "runtime/event_loop.h"
#include "runtime/mailbox.h"
#include "runtime/system_limits.h"
#include "runtime/task.h"
#include "runtime/task_placement.h"
#include "runtime/task_run.h"

namespace flamingoyoke {

// Runs one task at a time on a thread of its own or on a loop that it shares
// with other tasks. The mailbox outlives the task, so messages sent during a
// restart are kept.
template <Task T>
class TaskHost {
 public:
  using Factory = typename TaskRun<T>::Factory;
  // Called on the task's thread when it has ended, or by Start if it could not
  // be started; `error` is empty after a regular exit.
  using OnExit = std::function<void(std::optional<Error> error)>;

  // `name` identifies the task in logs. `mailbox` must outlive the host.
  // `factory` makes the task at each start.
  TaskHost(std::string name,
           Mailbox<typename T::Message>& mailbox,
           Factory factory,
           TaskPlacement placement = TaskPlacement::kOwnThread)
      : name_(std::move(name)),
        mailbox_(mailbox),
        factory_(std::move(factory)),
        placement_(placement) {}

  TaskHost(const TaskHost&) = delete;
  auto operator=(const TaskHost&) -> TaskHost& = delete;

  // Ends the task. Precondition: called on the task's loop if it shares one.
  ~TaskHost() {
    RequestStop(StopMode::kHard);
    if (placement_ == TaskPlacement::kSupervisorLoop && run_) {
      run_->StopNow();
      run_.reset();
    }
    Join();
  }

  // Starts a new task. `loop` is the one of its supervisor and must outlive the
  // host. Preconditions: no task is running (Join was called after the last
  // exit); called on the thread of `loop`.
  auto Start(EventLoop& loop, const OnExit& on_exit) -> void {
    if (placement_ == TaskPlacement::kOwnThread) {
      Start(on_exit);
      return;
    }
    std::optional<Error> error;
    try {
      error = StartOn(loop, on_exit);
    } catch (const std::exception& exception) {
      run_.reset();
      error = ToError(exception);
    }
    if (error) {
      on_exit(std::move(error));
    }
  }

  // Starts a new task on a thread of its own. Precondition: none is running,
  // and the placement is kOwnThread.
  auto Start(const OnExit& on_exit) -> void {
    try {
      thread_ = std::thread([this, on_exit] { on_exit(RunOnThread()); });
    } catch (const std::system_error& refusal) {
      on_exit(Error{ErrorKind::kResourceRefused,
                    "cannot start a thread: " + std::string(refusal.what()) +
                        " (" + Describe(ReadSystemLimits()) + ")"});
    } catch (const std::bad_alloc& refusal) {
      on_exit(ToError(refusal));
    }
  }

  // Asks the task to stop. Later calls can only raise the mode. Thread-safe.
  auto RequestStop(StopMode mode) -> void {
    auto current = stop_mode_.load();
    while (current < mode && !stop_mode_.compare_exchange_weak(current, mode)) {
    }
    mailbox_.Wake();
  }

  // Waits until the thread of the task has ended, if it has one.
  auto Join() -> void {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  // Whether a start of the task has ever succeeded. Precondition: no task is
  // running, as for Start.
  [[nodiscard]] auto has_run() const -> bool { return has_run_; }
  // Treats the task as one that has run, in an earlier host. Precondition: no
  // task is running.
  auto AssumeRun() -> void { has_run_ = true; }

  [[nodiscard]] auto name() const -> const std::string& { return name_; }

 private:
  // Starts the task on `loop`. Returns the error if that fails; otherwise
  // `on_exit` is called later.
  auto StartOn(EventLoop& loop, const OnExit& on_exit) -> std::optional<Error> {
    end_ = loop.MakeUrgent([this, on_exit] {
      auto error = run_->error();
      run_.reset();
      on_exit(std::move(error));
    });
    run_.emplace(
        loop, mailbox_, stop_mode_, [this] { end_.Trigger(); },
        TaskStart{placement_, has_run_});
    auto error = run_->Start(factory_);
    if (!error) {
      has_run_ = true;
    } else {
      run_.reset();
      // The task may have ended itself before its start failed.
      end_ = {};
    }
    return error;
  }

  auto RunOnThread() -> std::optional<Error> {
    std::optional<Error> error;
    try {
      EventLoop loop;
      error = RunOn(loop);
      // Both use the loop.
      run_.reset();
      end_ = {};
    } catch (const std::exception& exception) {
      error = ToError(exception);
    }
    return error;
  }

  auto RunOn(EventLoop& loop) -> std::optional<Error> {
    try {
      std::optional<Error> error;
      auto start_error = StartOn(loop, [&](std::optional<Error> failure) {
        error = std::move(failure);
        loop.Quit();
      });
      if (start_error) {
        return start_error;
      }
      loop.Run();
      return error;
    } catch (const std::exception& exception) {
      return ToError(exception);
    }
  }

  const std::string name_;
  Mailbox<typename T::Message>& mailbox_;
  const Factory factory_;
  const TaskPlacement placement_;
  std::atomic<StopMode> stop_mode_ = StopMode::kNone;
  std::thread thread_;
  // Used on the task's thread while a task runs, otherwise by the owner.
  bool has_run_ = false;
  // Used on the task's thread only. Ends the run, which must not be destroyed
  // within one of the task's own callbacks.
  EventLoop::Handle end_;
  std::optional<TaskRun<T>> run_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_TASK_HOST_H_
