#include "standins/common/timer_queue.h"

#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke::standin {

TimerQueue::TimerQueue(EventLoop& loop)
    : timer_(loop.MakeTimer([this] { RunDue(); })) {}

auto TimerQueue::At(TimePoint at, Callback callback) -> void {
  const auto added = callbacks_.emplace(at, std::move(callback));
  if (added == callbacks_.begin()) {
    ScheduleNext();
  }
}

auto TimerQueue::After(Duration delay, Callback callback) -> void {
  At(Now() + delay, std::move(callback));
}

auto TimerQueue::RunDue() -> void {
  const auto now = Now();
  while (!callbacks_.empty() && callbacks_.begin()->first <= now) {
    auto node = callbacks_.extract(callbacks_.begin());
    node.mapped()();
  }
  ScheduleNext();
}

auto TimerQueue::ScheduleNext() -> void {
  if (!callbacks_.empty()) {
    timer_.Schedule(callbacks_.begin()->first - Now());
  }
}

}  // namespace flamingoyoke::standin
