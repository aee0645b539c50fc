#include "runtime/event_loop.h"

#include <criterion/criterion.h>

#include <chrono>
#include <vector>

#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

// Guards against a timer that runs before its time because the turn of the
// loop in which it was set had already taken long. Decisions that were woken
// early ordered no further wake, and a fresh fleet took seconds to meet.
Test(event_loop, a_timer_set_late_in_a_turn_is_not_early) {
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

// Guards against overload that stays unseen while one turn of the loop takes
// long.
Test(event_loop, tells_how_long_a_turn_takes) {
  EventLoop loop;
  std::vector<Duration> ages;
  const auto work = [&] {
    ages.push_back(loop.TurnAge());
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
  // Both are due when the loop looks for events.
  const auto begin = Now();
  while (Now() - begin < milliseconds(10)) {
  }
  loop.Run();
  cr_assert_eq(ages.size(), 2U);
  cr_assert(ages[0] < milliseconds(5));
  cr_assert(ages[1] >= milliseconds(20));
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

}  // namespace
}  // namespace flamingoyoke
