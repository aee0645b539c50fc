#include "runtime/task_host.h"

#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "runtime/wake_descriptor.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

struct Number {
  int value = 0;
};
using NumberMessage = std::variant<Number>;

using Timers = std::vector<EventLoop::Handle>;

// What a task does at its start, and where it notes what it did.
struct Script {
  // Timers are destroyed with the task.
  std::function<void(TaskContext&, Timers&)> on_start = [](TaskContext&,
                                                           Timers&) {};
  std::function<void(int)> on_number = [](int) {};
  std::vector<std::string>* events = nullptr;
  std::string name;
};

class ScriptedTask {
 public:
  using Message = NumberMessage;

  explicit ScriptedTask(const Script& script) : script_(script) {}
  ~ScriptedTask() { script_.events->push_back(script_.name + " destroyed"); }
  ScriptedTask(const ScriptedTask&) = delete;
  auto operator=(const ScriptedTask&) -> ScriptedTask& = delete;

  auto Start(TaskContext& context) -> Result<void> {
    context_ = &context;
    script_.on_start(context, timers_);
    return {};
  }
  auto Handle(Message message) -> Result<void> {
    const auto value = std::get<Number>(message).value;
    script_.events->push_back(script_.name + " " + std::to_string(value));
    script_.on_number(value);
    return {};
  }
  auto Stop(StopMode) -> void {
    script_.events->push_back(script_.name + " stopped");
    context_->Exit();
  }

 private:
  Script script_;
  TaskContext* context_ = nullptr;
  Timers timers_;
};

// Two tasks on one loop, which runs on the thread of the test.
struct Fixture {
  std::vector<std::string> events;
  Script first_script{.events = &events, .name = "first"};
  Script second_script{.events = &events, .name = "second"};
  Mailbox<NumberMessage> first_mailbox{1024};
  Mailbox<NumberMessage> second_mailbox{1024};
  std::optional<Error> first_error;
  bool has_first_exited = false;
  EventLoop loop;
  TaskHost<ScriptedTask> first{
      "first", first_mailbox,
      [this] { return std::make_unique<ScriptedTask>(first_script); },
      TaskPlacement::kSupervisorLoop};
  TaskHost<ScriptedTask> second{
      "second", second_mailbox,
      [this] { return std::make_unique<ScriptedTask>(second_script); },
      TaskPlacement::kSupervisorLoop};

  auto Start() -> void {
    first.Start(loop, [this](std::optional<Error> error) {
      first_error = std::move(error);
      has_first_exited = true;
    });
    second.Start(loop, [](const std::optional<Error>&) {});
  }

  auto RunFor(Duration time) -> void {
    auto timer = loop.MakeTimer([this] { loop.Quit(); });
    timer.Schedule(time);
    loop.Run();
  }
};

}  // namespace

// Guards against a thread for each task, which a limit on tasks refuses.
Test(task_host, runs_tasks_on_the_loop_of_their_supervisor) {
  Fixture fixture;
  std::vector<std::thread::id> threads;
  const auto note_thread = [&](TaskContext&, Timers&) {
    threads.push_back(std::this_thread::get_id());
  };
  fixture.first_script.on_start = note_thread;
  fixture.second_script.on_start = note_thread;
  fixture.Start();
  fixture.first_mailbox.Post(Number{1});
  fixture.second_mailbox.Post(Number{2});
  fixture.RunFor(milliseconds(20));
  cr_assert(threads == std::vector(2, std::this_thread::get_id()));
  cr_assert(fixture.events ==
            std::vector<std::string>({"first 1", "second 2"}));
}

// Guards against an exception in a timer of one task that ends its neighbours.
Test(task_host, an_exception_ends_its_own_task_only) {
  Fixture fixture;
  fixture.first_script.on_start = [](TaskContext& context, Timers& timers) {
    timers.push_back(context.loop().MakeTimer(
        [] { throw std::runtime_error("thrown by the test"); }));
    timers.back().Schedule(milliseconds(1));
  };
  fixture.Start();
  fixture.RunFor(milliseconds(20));
  cr_assert(fixture.first_error.has_value());
  cr_assert_eq(fixture.first_error->detail, "thrown by the test");
  fixture.second_mailbox.Post(Number{1});
  fixture.RunFor(milliseconds(20));
  cr_assert(fixture.events ==
            std::vector<std::string>({"first destroyed", "second 1"}));
}

// Guards against callbacks of a task that has ended, while its neighbours run.
Test(task_host, runs_no_callback_of_a_task_that_has_ended) {
  Fixture fixture;
  fixture.first_script.on_start = [&](TaskContext& context, Timers& timers) {
    for (int i = 0; i < 2; ++i) {
      timers.push_back(context.loop().MakeTimer([&] {
        fixture.events.emplace_back("timer");
        context.Exit();
      }));
      timers.back().Schedule(milliseconds(5));
    }
  };
  fixture.Start();
  // Both timers are due in the first iteration of the loop.
  std::this_thread::sleep_for(milliseconds(10));
  fixture.RunFor(milliseconds(20));
  cr_assert(fixture.has_first_exited);
  cr_assert_not(fixture.first_error.has_value());
  cr_assert(fixture.events ==
            std::vector<std::string>({"timer", "first destroyed"}));
}

// Guards against a queue of messages for one task that holds up its neighbours.
Test(task_host, a_flood_of_messages_leaves_the_neighbour_its_turn) {
  Fixture fixture;
  for (int i = 0; i < 1000; ++i) {
    fixture.first_mailbox.Post(Number{i});
  }
  fixture.second_mailbox.Post(Number{-1});
  fixture.Start();
  fixture.RunFor(milliseconds(50));
  const auto& events = fixture.events;
  cr_assert_eq(events.size(), 1001);
  const auto turn = std::find(events.begin(), events.end(), "second -1");
  cr_assert_lt(turn - events.begin(), 200);
  // No message overtakes another one.
  cr_assert(events.back() == "first 999");
}

// Guards against messages that take long and hold up the timers of the
// neighbours until these take the VM for one that was paused.
Test(task_host, long_messages_leave_the_neighbour_its_turn) {
  Fixture fixture;
  fixture.first_script.on_number = [](int) {
    std::this_thread::sleep_for(milliseconds(5));
  };
  for (int i = 0; i < 60; ++i) {
    fixture.first_mailbox.Post(Number{i});
  }
  fixture.second_mailbox.Post(Number{-1});
  fixture.Start();
  fixture.RunFor(milliseconds(800));
  const auto& events = fixture.events;
  cr_assert_eq(events.size(), 61);
  const auto turn = std::find(events.begin(), events.end(), "second -1");
  cr_assert_lt(turn - events.begin(), 10);
  cr_assert(events.back() == "first 59");
}

// Guards against a stop that overtakes messages that were posted before it.
Test(task_host, stops_after_the_messages_before_it) {
  Fixture fixture;
  for (int i = 0; i < 500; ++i) {
    fixture.first_mailbox.Post(Number{i});
  }
  fixture.first.RequestStop(StopMode::kGraceful);
  fixture.Start();
  fixture.RunFor(milliseconds(50));
  cr_assert(fixture.has_first_exited);
  const auto& events = fixture.events;
  cr_assert_eq(events.size(), 502);
  cr_assert_eq(events[499], "first 499");
  cr_assert_eq(events[500], "first stopped");
  cr_assert_eq(events[501], "first destroyed");
}

// Guards against a stop that is never heard, since new messages keep arriving.
Test(task_host, stops_while_messages_keep_arriving) {
  Fixture fixture;
  fixture.first_script.on_number = [&](int value) {
    fixture.first_mailbox.Post(Number{value + 1});
  };
  for (int i = 0; i < 200; ++i) {
    fixture.first_mailbox.Post(Number{0});
  }
  fixture.Start();
  auto stop = fixture.loop.MakeTimer(
      [&] { fixture.first.RequestStop(StopMode::kGraceful); });
  stop.Schedule(milliseconds(5));
  fixture.RunFor(milliseconds(50));
  cr_assert(fixture.has_first_exited);
}

// Guards against news that waits until a busy VM has come to all its sockets,
// which took seconds and let requests reach targets that had left long ago.
Test(task_host, a_message_overtakes_the_sockets_that_wait) {
  constexpr int kSockets = 100;
  Mailbox<NumberMessage> mailbox{16};
  std::vector<std::string> events;
  int served = 0;
  int served_before_message = -1;
  WakeDescriptor descriptor;
  descriptor.Signal();
  Script script{.events = &events, .name = "task"};
  script.on_start = [&](TaskContext& context, Timers& sockets) {
    for (int i = 0; i < kSockets; ++i) {
      sockets.push_back(
          context.loop().WatchReadable(dup(descriptor.descriptor()), [&] {
            if (++served == 1) {
              mailbox.Post(Number{1});
            }
            std::this_thread::sleep_for(milliseconds(5));
            if (served == kSockets) {
              context.Exit();
            }
          }));
    }
  };
  script.on_number = [&](int) { served_before_message = served; };
  TaskHost<ScriptedTask> host(
      "task", mailbox, [&] { return std::make_unique<ScriptedTask>(script); });
  host.Start([](const std::optional<Error>&) {});
  host.Join();
  cr_expect_geq(served_before_message, 1);
  cr_expect_leq(served_before_message, 10);
}

// Guards against messages without a pause that keep sockets from their turn.
Test(task_host, messages_without_a_pause_leave_sockets_half_of_the_time) {
  constexpr int kTurns = 20;
  Mailbox<NumberMessage> mailbox{16};
  std::vector<std::string> events;
  int turns = 0;
  int messages = 0;
  WakeDescriptor descriptor;
  descriptor.Signal();
  Script script{.events = &events, .name = "task"};
  script.on_start = [&](TaskContext& context, Timers& sockets) {
    sockets.push_back(
        context.loop().WatchReadable(descriptor.descriptor(), [&] {
          std::this_thread::sleep_for(milliseconds(2));
          if (++turns == kTurns) {
            context.Exit();
          }
        }));
  };
  script.on_number = [&](int value) {
    ++messages;
    std::this_thread::sleep_for(milliseconds(2));
    mailbox.Post(Number{value + 1});
  };
  mailbox.Post(Number{0});
  TaskHost<ScriptedTask> host(
      "task", mailbox, [&] { return std::make_unique<ScriptedTask>(script); });
  host.Start([](const std::optional<Error>&) {});
  host.Join();
  cr_expect_leq(messages, 2 * kTurns);
}

// Guards against a task that outlives its supervisor on a shared loop.
Test(task_host, ends_the_task_when_it_is_destroyed) {
  std::vector<std::string> events;
  Mailbox<NumberMessage> mailbox(8);
  EventLoop loop;
  {
    TaskHost<ScriptedTask> host(
        "probe", mailbox,
        [&] {
          return std::make_unique<ScriptedTask>(
              Script{.events = &events, .name = "probe"});
        },
        TaskPlacement::kSupervisorLoop);
    host.Start(loop, [&](const std::optional<Error>&) {
      events.emplace_back("exit reported");
    });
  }
  mailbox.Post(Number{1});
  auto timer = loop.MakeTimer([&] { loop.Quit(); });
  timer.Schedule(milliseconds(20));
  loop.Run();
  cr_assert(events ==
            std::vector<std::string>({"probe stopped", "probe destroyed"}));
}

// Guards against a process that ends since it is refused a thread for a while.
Test(task_host, tells_a_refused_thread_from_other_errors) {
  constexpr uid_t kUnusedUser = 54321;
  // The limit does not hold for root.
  if (geteuid() == 0) {
    cr_assert_eq(setuid(kUnusedUser), 0);
  }
  std::vector<std::string> events;
  Script script;
  script.events = &events;
  script.name = "task";
  Mailbox<NumberMessage> mailbox(8);
  TaskHost<ScriptedTask> host(
      "task", mailbox, [&] { return std::make_unique<ScriptedTask>(script); });
  rlimit before{};
  getrlimit(RLIMIT_NPROC, &before);
  const rlimit limit{1, before.rlim_max};
  setrlimit(RLIMIT_NPROC, &limit);
  std::optional<Error> error;
  host.Start([&](std::optional<Error> failure) { error = std::move(failure); });
  setrlimit(RLIMIT_NPROC, &before);
  cr_assert(error && error->kind == ErrorKind::kResourceRefused);
  cr_assert(error->detail.find("tasks of the user 1,") != std::string::npos);
  cr_assert_not(host.has_run());
  host.Start([&](std::optional<Error> failure) { error = std::move(failure); });
  host.RequestStop(StopMode::kGraceful);
  host.Join();
  cr_assert_not(error.has_value());
  cr_assert(host.has_run());
}

}  // namespace flamingoyoke
