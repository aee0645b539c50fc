#ifndef FLAMINGOYOKE_RUNTIME_SUPERVISOR_H_
#define FLAMINGOYOKE_RUNTIME_SUPERVISOR_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/overloaded.h"
#include "core/result.h"
#include "runtime/clock.h"
#include "runtime/mailbox.h"
#include "runtime/restart_policy.h"
#include "runtime/task.h"
#include "runtime/task_host.h"

namespace flamingoyoke {

// Posted by a child when its task has ended.
struct ChildExited {
  std::size_t child = 0;
  std::optional<Error> error;
};

using SupervisorMessage = std::variant<ChildExited>;

// If an exit were dropped, the child would never be restarted.
template <>
inline constexpr MailboxPolicy kMailboxPolicy<ChildExited> =
    MailboxPolicy::kBackPressure;

// Events that a supervisor reports to its observer, for logs and tests.
struct ChildRestarted {
  std::string child;
  Error error;
  Duration delay;
};
struct RestartLimitExceeded {
  std::string child;
  Error error;
};
using SupervisorEvent = std::variant<ChildRestarted, RestartLimitExceeded>;

// Starts its children in order and restarts a child that fails, after the delay
// of its restart policy. Once a child exceeds its restart limit, the supervisor
// itself fails, which escalates the failure to its parent. A graceful stop goes
// through the children in the same order, each after the previous one has
// exited, so list first the child that must finish first. A supervisor is a
// task and can be supervised itself.
template <Task... Ts>
class Supervisor {
 public:
  using Message = SupervisorMessage;
  using Child = std::variant<std::unique_ptr<TaskHost<Ts>>...>;
  using Observer = std::function<void(const SupervisorEvent&)>;

  // `mailbox` receives the exits of the children and must outlive the
  // supervisor. `observer` is called on the supervisor's thread.
  Supervisor(Mailbox<Message>& mailbox,
             std::vector<Child> children,
             RestartLimit limit,
             Observer observer)
      : mailbox_(mailbox), observer_(std::move(observer)) {
    for (auto& child : children) {
      children_.push_back({std::move(child), RestartPolicy(limit), false, {}});
    }
  }

  auto Start(TaskContext& context) -> Result<void> {
    context_ = &context;
    // Discards exits that children of a previous supervisor left in the
    // mailbox; they would be attributed to the new children.
    mailbox_.TakeAll();
    for (std::size_t i = 0; i < children_.size(); ++i) {
      if (context.is_restart()) {
        // The previous supervisor's children have run.
        std::visit([](auto& host) { host->AssumeRun(); }, children_[i].host);
      }
      children_[i].restart_timer =
          context.loop().MakeTimer([this, i] { StartChild(i); });
      StartChild(i);
    }
    return {};
  }

  auto Handle(Message message) -> Result<void> {
    return OnChildExited(std::get<ChildExited>(message));
  }

  auto Stop(StopMode mode) -> void {
    if (mode <= stop_mode_) {
      return;
    }
    stop_mode_ = mode;
    for (auto& entry : children_) {
      entry.restart_timer.Cancel();
    }
    StopNext();
  }

 private:
  struct Entry {
    Child host;
    RestartPolicy restarts;
    bool running = false;
    EventLoop::Handle restart_timer;
  };

  auto StartChild(std::size_t index) -> void {
    children_[index].running = true;
    std::visit(
        [&](auto& host) {
          host->Start(context_->loop(),
                      [this, index](std::optional<Error> error) {
                        // Never refused: the mailbox holds at most one message
                        // per child, far below its capacity.
                        mailbox_.Post(ChildExited{index, std::move(error)});
                      });
        },
        children_[index].host);
  }

  auto OnChildExited(ChildExited& exited) -> Result<void> {
    auto& entry = children_[exited.child];
    std::visit([](auto& host) { host->Join(); }, entry.host);
    entry.running = false;
    if (stop_mode_ != StopMode::kNone) {
      StopNext();
      return {};
    }
    const auto name =
        std::visit([](auto& host) { return host->name(); }, entry.host);
    const auto has_run =
        std::visit([](auto& host) { return host->has_run(); }, entry.host);
    const auto error = exited.error.value_or(
        Error{ErrorKind::kChildFailed, "exited without a stop request"});
    return std::visit(
        Overloaded{
            [&](const RestartAfter& restart) -> Result<void> {
              observer_(ChildRestarted{name, error, restart.delay});
              entry.restart_timer.Schedule(restart.delay);
              return {};
            },
            [&](const EscalateFailure&) -> Result<void> {
              observer_(RestartLimitExceeded{name, error});
              return Fail(
                  ErrorKind::kChildFailed,
                  name + " exceeded its restart limit: " + error.detail);
            },
        },
        entry.restarts.OnFailure(error, has_run, Now()));
  }

  // Stops the first running child, or all of them in hard mode, and exits when
  // none is running.
  auto StopNext() -> void {
    bool any_running = false;
    for (auto& entry : children_) {
      if (!entry.running) {
        continue;
      }
      any_running = true;
      std::visit([this](auto& host) { host->RequestStop(stop_mode_); },
                 entry.host);
      if (stop_mode_ == StopMode::kGraceful) {
        return;
      }
    }
    if (!any_running) {
      context_->Exit();
    }
  }

  Mailbox<Message>& mailbox_;
  Observer observer_;
  std::vector<Entry> children_;
  TaskContext* context_ = nullptr;
  StopMode stop_mode_ = StopMode::kNone;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_SUPERVISOR_H_
