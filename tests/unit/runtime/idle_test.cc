#include <criterion/criterion.h>
#include <sys/resource.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <variant>

#include "runtime/mailbox.h"
#include "runtime/task_host.h"

namespace flamingoyoke {
namespace {

using NoMessage = std::variant<std::monostate>;

class IdleTask {
 public:
  using Message = NoMessage;

  explicit IdleTask(std::atomic<bool>& started) : started_(started) {}

  auto Start(TaskContext& context) -> Result<void> {
    context_ = &context;
    started_ = true;
    return {};
  }
  auto Handle(Message) -> Result<void> { return {}; }
  auto Stop(StopMode) -> void { context_->Exit(); }

 private:
  std::atomic<bool>& started_;
  TaskContext* context_ = nullptr;
};

auto VoluntaryContextSwitches() -> long {
  rusage usage = {};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_nvcsw;
}

// Guards against a task that polls while it is idle: each wake-up of its thread
// ends in a voluntary context switch.
Test(idle, an_idle_task_does_not_wake) {
  std::atomic<bool> started = false;
  Mailbox<NoMessage> mailbox(4);
  TaskHost<IdleTask> host("idle", mailbox,
                          [&] { return std::make_unique<IdleTask>(started); });
  host.Start([](const std::optional<Error>&) {});
  while (!started) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  const auto before = VoluntaryContextSwitches();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  // Allows for the sleep of this thread and the first wake-up of the task.
  cr_assert_leq(VoluntaryContextSwitches() - before, 10);
}

}  // namespace
}  // namespace flamingoyoke
