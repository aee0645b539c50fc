#include "runtime/supervisor.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace flamingoyoke {
namespace {

struct FailNow {};
struct Ping {};
using ProbeMessage = std::variant<FailNow, Ping>;

// Starts before `end` fail.
struct Shortage {
  TimePoint end;
  ErrorKind kind = ErrorKind::kInternal;
};

// A task that fails on request, or when started during a shortage, and
// counts its starts and messages.
class ProbeTask {
 public:
  using Message = ProbeMessage;

  ProbeTask(std::atomic<int>& starts,
            std::atomic<int>& pings,
            Shortage shortage)
      : starts_(starts), pings_(pings), shortage_(shortage) {}

  auto Start(TaskContext& context) -> Result<void> {
    context_ = &context;
    ++starts_;
    if (Now() < shortage_.end) {
      return Fail(shortage_.kind, "shortage made by the test");
    }
    return {};
  }

  auto Handle(Message message) -> Result<void> {
    if (std::holds_alternative<FailNow>(message)) {
      return Fail(ErrorKind::kInternal, "failure requested by the test");
    }
    ++pings_;
    return {};
  }

  auto Stop(StopMode) -> void { context_->Exit(); }

 private:
  std::atomic<int>& starts_;
  std::atomic<int>& pings_;
  const Shortage shortage_;
  TaskContext* context_ = nullptr;
};

template <typename Condition>
auto WaitFor(Condition condition) -> bool {
  const auto limit = Now() + std::chrono::seconds(20);
  while (!condition()) {
    if (Now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

using ProbeSupervisor = Supervisor<ProbeTask>;

struct Fixture {
  std::atomic<int> starts = 0;
  std::atomic<int> pings = 0;
  std::atomic<bool> exited = false;
  std::optional<Error> exit_error;
  Shortage shortage;
  Mailbox<ProbeMessage> child_mailbox{8};
  Mailbox<SupervisorMessage> mailbox{8};
  TaskHost<ProbeSupervisor> host{"probe-supervisor", mailbox,
                                 [this] { return MakeSupervisor(); }};

  auto MakeSupervisor() -> std::unique_ptr<ProbeSupervisor> {
    std::vector<ProbeSupervisor::Child> children;
    children.emplace_back(
        std::make_unique<TaskHost<ProbeTask>>("probe", child_mailbox, [this] {
          return std::make_unique<ProbeTask>(starts, pings, shortage);
        }));
    return std::make_unique<ProbeSupervisor>(
        mailbox, std::move(children),
        RestartLimit{.restarts = 3, .window = std::chrono::seconds(60)},
        [](const SupervisorEvent&) {});
  }

  auto Start() -> void {
    host.Start([this](std::optional<Error> error) {
      exit_error = std::move(error);
      exited = true;
    });
  }
};

// Guards against a failed child that is not restarted, and against losing
// messages that arrive during the restart.
Test(supervisor, restarts_a_failed_child_and_keeps_its_mailbox) {
  Fixture fixture;
  fixture.Start();
  fixture.child_mailbox.Post(FailNow{});
  cr_assert(WaitFor([&] { return fixture.starts == 2; }));
  fixture.child_mailbox.Post(Ping{});
  cr_assert(WaitFor([&] { return fixture.pings == 1; }));
  fixture.host.RequestStop(StopMode::kGraceful);
  cr_assert(WaitFor([&] { return fixture.exited.load(); }));
  cr_assert_not(fixture.exit_error.has_value());
}

// Guards against the loss of messages that were taken from the mailbox together
// with the one that failed.
Test(supervisor, keeps_the_messages_behind_a_failed_one) {
  Fixture fixture;
  fixture.child_mailbox.Post(FailNow{});
  fixture.child_mailbox.Post(Ping{});
  fixture.child_mailbox.Post(Ping{});
  fixture.Start();
  cr_assert(WaitFor([&] { return fixture.pings == 2; }));
  cr_assert_eq(fixture.starts, 2);
  fixture.host.RequestStop(StopMode::kGraceful);
  cr_assert(WaitFor([&] { return fixture.exited.load(); }));
}

// Guards against a child that is restarted without end.
Test(supervisor, escalates_the_failure_past_the_restart_limit) {
  Fixture fixture;
  fixture.Start();
  for (int failure = 0; failure < 4; ++failure) {
    cr_assert(WaitFor([&] { return fixture.starts == failure + 1; }));
    fixture.child_mailbox.Post(FailNow{});
  }
  cr_assert(WaitFor([&] { return fixture.exited.load(); }));
  cr_assert(fixture.exit_error.has_value());
  cr_assert(fixture.exit_error->kind == ErrorKind::kChildFailed);
  cr_assert_eq(fixture.starts, 4);
}

// Guards against restarts that are used up before a brief shortage of threads
// or descriptors is over.
Test(supervisor, restarts_outlast_a_brief_shortage) {
  Fixture fixture;
  fixture.shortage.end = Now() + std::chrono::milliseconds(200);
  fixture.child_mailbox.Post(Ping{});
  fixture.Start();
  cr_assert(WaitFor([&] { return fixture.pings == 1 || fixture.exited; }));
  cr_assert_not(fixture.exited);
  fixture.host.RequestStop(StopMode::kGraceful);
  cr_assert(WaitFor([&] { return fixture.exited.load(); }));
}

// Guards against a VM that stays ready while an address that it lost is waited
// for, since the supervisor of the task was restarted.
Test(supervisor, a_restarted_one_does_not_wait_for_a_lost_address) {
  Fixture fixture;
  fixture.Start();
  for (int failure = 0; failure < 4; ++failure) {
    cr_assert(WaitFor([&] { return fixture.starts == failure + 1; }));
    fixture.child_mailbox.Post(FailNow{});
  }
  cr_assert(WaitFor([&] { return fixture.exited.load(); }));
  fixture.host.Join();
  fixture.exited = false;
  fixture.shortage = {Now() + std::chrono::seconds(60),
                      ErrorKind::kAddressInUse};
  fixture.Start();
  cr_assert(WaitFor([&] { return fixture.exited.load(); }));
  cr_assert(fixture.exit_error.has_value());
}

// Guards against a stop that waits for the restart of a failed child.
Test(supervisor, stops_while_a_restart_is_pending) {
  Fixture fixture;
  fixture.shortage.end = Now() + std::chrono::seconds(60);
  fixture.Start();
  cr_assert(WaitFor([&] { return fixture.starts == 3; }));
  fixture.host.RequestStop(StopMode::kGraceful);
  cr_assert(WaitFor([&] { return fixture.exited.load(); }));
  cr_assert_not(fixture.exit_error.has_value());
}

}  // namespace
}  // namespace flamingoyoke
