#ifndef FLAMINGOYOKE_TESTS_STANDINS_COMMON_TIMER_QUEUE_H_
#define FLAMINGOYOKE_TESTS_STANDINS_COMMON_TIMER_QUEUE_H_

#include <functional>
#include <map>

#include "core/time.h"
#include "runtime/event_loop.h"

namespace flamingoyoke::standin {

// Runs callbacks at scheduled times. A callback may schedule further callbacks
// and destroy the object that scheduled it. Used on the thread of its loop
// only.
class TimerQueue {
 public:
  using Callback = std::function<void()>;

  // `loop` must outlive the queue.
  explicit TimerQueue(EventLoop& loop);

  // Runs `callback` once at `at`, or as soon as possible after it. Callbacks
  // for the same time run in the order in which they were added.
  auto At(TimePoint at, Callback callback) -> void;
  // Runs `callback` once after `delay`.
  auto After(Duration delay, Callback callback) -> void;

 private:
  auto RunDue() -> void;
  auto ScheduleNext() -> void;

  std::multimap<TimePoint, Callback> callbacks_;
  EventLoop::Handle timer_;
};

}  // namespace flamingoyoke::standin

#endif  // FLAMINGOYOKE_TESTS_STANDINS_COMMON_TIMER_QUEUE_H_
