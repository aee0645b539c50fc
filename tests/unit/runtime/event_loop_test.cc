#include "runtime/event_loop.h"

#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <thread>
#include <vector>

#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

// Guards against a timer that fires early because it was set late in a long
// iteration of the loop: libevent counts from the start of the iteration.
// Decisions woken early scheduled no further wake-up, and the nodes of a new
// fleet took seconds to discover each other.
Test(event_loop, a_timer_set_late_in_an_iteration_does_not_fire_early) {
  EventLoop loop;
  TimePoint due;
  bool is_early = false;
  int rounds = 0;
  EventLoop::Handle timer;
  const auto set_timer_late = [&] {
    const auto begin = Now();
    while (Now() - begin < milliseconds(3)) {
    }
    due = Now() + milliseconds(5);
    timer.Schedule(milliseconds(5));
  };
  timer = loop.MakeTimer([&] {
    is_early = is_early || Now() < due;
    if (++rounds == 20) {
      loop.Quit();
      return;
    }
    set_timer_late();
  });
  timer.Schedule(Duration::zero());
  loop.Run();
  cr_assert_not(is_early);
}

// Guards against overload that goes undetected while the events of a busy loop
// wait.
Test(event_loop, measures_how_long_events_wait) {
  EventLoop loop;
  std::vector<Duration> ages;
  const auto work = [&] {
    ages.push_back(loop.QueueDelay());
    const auto begin = Now();
    while (Now() - begin < milliseconds(20)) {
    }
  };
  auto first = loop.MakeTimer(work);
  auto second = loop.MakeTimer([&] {
    work();
    loop.Quit();
  });
  first.Schedule(milliseconds(5));
  second.Schedule(milliseconds(5));
  // Both timers have expired by the time the loop polls.
  const auto begin = Now();
  while (Now() - begin < milliseconds(10)) {
  }
  loop.Run();
  cr_assert_eq(ages.size(), 2U);
  cr_assert(ages[0] < milliseconds(5));
  cr_assert(ages[1] >= milliseconds(20));
}

// Guards against timeouts that wait until a busy loop has come to all sockets.
Test(event_loop, a_prompt_timer_overtakes_the_sockets_that_wait) {
  EventLoop loop;
  int served = 0;
  int served_before_timer = -1;
  std::vector<EventLoop::Handle> sockets(100);
  auto timer = loop.MakePromptTimer([&] { served_before_timer = served; });
  for (auto& socket : sockets) {
    socket = loop.MakeTimer([&] {
      if (++served == 1) {
        timer.Schedule(milliseconds(4));
      }
      if (served == 100) {
        loop.Quit();
      }
      std::this_thread::sleep_for(milliseconds(5));
    });
    socket.Schedule(Duration::zero());
  }
  loop.Run();
  cr_expect_geq(served_before_timer, 1);
  cr_expect_leq(served_before_timer, 15);
}

// Guards against a timer that is always due and keeps sockets from their turn.
Test(event_loop, prompt_timers_leave_sockets_half_of_the_time) {
  EventLoop loop;
  int turns = 0;
  int ticks = 0;
  EventLoop::Handle timer;
  timer = loop.MakePromptTimer([&] {
    ++ticks;
    std::this_thread::sleep_for(milliseconds(2));
    timer.Schedule(Duration::zero());
  });
  EventLoop::Handle socket;
  socket = loop.MakeTimer([&] {
    std::this_thread::sleep_for(milliseconds(2));
    if (++turns == 20) {
      loop.Quit();
      return;
    }
    socket.Schedule(Duration::zero());
  });
  timer.Schedule(Duration::zero());
  socket.Schedule(Duration::zero());
  loop.Run();
  cr_expect_leq(ticks, 25);
}

// Guards against timers of several services that take turns and together keep
// sockets from theirs.
Test(event_loop, several_prompt_timers_leave_sockets_half_of_the_time) {
  constexpr int kTurns = 20;
  constexpr int kMaxTicks = 200;
  EventLoop loop;
  int turns = 0;
  int ticks = 0;
  std::vector<EventLoop::Handle> timers(3);
  for (auto& timer : timers) {
    timer = loop.MakePromptTimer([&] {
      std::this_thread::sleep_for(milliseconds(2));
      if (++ticks == kMaxTicks) {
        loop.Quit();
      }
      timer.Schedule(Duration::zero());
    });
    timer.Schedule(Duration::zero());
  }
  EventLoop::Handle socket;
  socket = loop.MakeTimer([&] {
    std::this_thread::sleep_for(milliseconds(2));
    if (++turns == kTurns) {
      loop.Quit();
      return;
    }
    socket.Schedule(Duration::zero());
  });
  socket.Schedule(Duration::zero());
  loop.Run();
  cr_expect_eq(turns, kTurns);
  cr_expect_leq(ticks, 2 * kTurns);
}

// Guards against a use of a timer that its own callback destroys.
Test(event_loop, a_prompt_timer_may_be_destroyed_by_its_callback) {
  EventLoop loop;
  EventLoop::Handle timer;
  timer = loop.MakePromptTimer([&] {
    loop.Quit();
    timer = {};
  });
  timer.Schedule(Duration::zero());
  loop.Run();
}

// Guards against a cancelled timer that still runs.
Test(event_loop, a_cancelled_timer_does_not_run) {
  EventLoop loop;
  bool has_run = false;
  auto cancelled = loop.MakeTimer([&] { has_run = true; });
  auto last = loop.MakeTimer([&] { loop.Quit(); });
  cancelled.Schedule(milliseconds(1));
  cancelled.Cancel();
  last.Schedule(milliseconds(10));
  loop.Run();
  cr_assert_not(has_run);
}

// Guards against libevent, which ends the process when it is refused a
// descriptor.
Test(event_loop, refused_descriptors_throw) {
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  // Fills gaps between the descriptors that the process has.
  int last = 0;
  for (int i = 0; i < 100; ++i) {
    last = std::max(last, dup(STDIN_FILENO));
  }
  // The sanitizer needs two descriptors where the exception is made.
  for (rlim_t free = 2; free < 6; ++free) {
    const rlimit limit{static_cast<rlim_t>(last) + 1 + free, before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &limit);
    int error = 0;
    try {
      const EventLoop loop;
      setrlimit(RLIMIT_NOFILE, &before);
    } catch (const std::system_error& refusal) {
      setrlimit(RLIMIT_NOFILE, &before);
      error = refusal.code().value();
    }
    cr_assert_eq(error, free < 4 ? EMFILE : 0, "with %lu free descriptors",
                 static_cast<unsigned long>(free));
  }
}

}  // namespace
}  // namespace flamingoyoke
