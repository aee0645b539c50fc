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

#include "core/result.h"
#include "runtime/clock.h"
#include "runtime/mailbox.h"
#include "runtime/restart_window.h"
#include "runtime/task.h"
#include "runtime/task_host.h"

namespace flamingoyoke {

// A child's thread has ended.
struct ChildExited {
  std::size_t child = 0;
  std::optional<Error> error;
};

using SupervisorMessage = std::variant<ChildExited>;

// An exit that is lost would leave a child dead for good.
template <>
inline constexpr MailboxPolicy kMailboxPolicy<ChildExited> =
    MailboxPolicy::kBackPressure;

// What a supervisor tells of its children, for logs and tests.
struct ChildRestarted {
  std::string child;
  Error error;
};
struct ChildGaveUp {
  std::string child;
  Error error;
};
using SupervisorEvent = std::variant<ChildRestarted, ChildGaveUp>;

// Starts children in order, restarts one that fails, and fails itself once a
// child exceeds its restart limit, so that the parent decides. Stops them in
// the same order, each after the one before has exited: a parent lists first
// the child that must finish its work first. A supervisor is a task too, and
// so may be the child of another.
template <Task... Ts>
class Supervisor {
 public:
  using Message = SupervisorMessage;
  using Child = std::variant<std::unique_ptr<TaskHost<Ts>>...>;
  using Observer = std::function<void(const SupervisorEvent&)>;

  // `mailbox` is the supervisor's own and must outlive it. `observer` is
  // called on the supervisor's thread.
  Supervisor(Mailbox<Message>& mailbox,
             std::vector<Child> children,
             RestartLimit limit,
             Observer observer)
      : mailbox_(mailbox), observer_(std::move(observer)) {
    for (auto& child : children) {
      children_.push_back({std::move(child), RestartWindow(limit), false});
    }
  }

  auto Start(TaskContext& context) -> Result<void> {
    context_ = &context;
    // Exits left by the children of an earlier supervisor on this mailbox
    // must not be taken for those of the new children.
    mailbox_.TakeAll();
    for (std::size_t i = 0; i < children_.size(); ++i) {
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
    StopNext();
  }

 private:
  struct Entry {
    Child host;
    RestartWindow restarts;
    bool running = false;
  };

  auto StartChild(std::size_t index) -> void {
    children_[index].running = true;
    std::visit(
        [&](auto& host) {
          host->Start([this, index](std::optional<Error> error) {
            // The mailbox holds a message per child at most, far below its
            // bound, so an exit is never refused.
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
    const auto error = exited.error.value_or(
        Error{ErrorKind::kChildFailed, "exited without being asked"});
    if (!entry.restarts.AllowRestart(Now())) {
      observer_(ChildGaveUp{name, error});
      return Fail(ErrorKind::kChildFailed,
                  name + " failed too often: " + error.detail);
    }
    observer_(ChildRestarted{name, error});
    StartChild(exited.child);
    return {};
  }

  // Stops the first child that still runs, or all at once in hard mode, and
  // exits when none is left.
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
