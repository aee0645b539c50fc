#include "decision/dispatch/deadline_queue.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

auto Entry(std::uint64_t id, int deadline_ms, std::uint64_t bytes = 0)
    -> QueuedRequest {
  return {RequestId(id), WorkClass::kShort,
          TimePoint(std::chrono::milliseconds(deadline_ms)), bytes};
}

// Guards against urgent requests that wait behind ones with a later deadline.
Test(deadline_queue, earliest_deadline_is_first) {
  DeadlineQueue queue;
  queue.Push(Entry(1, 300));
  queue.Push(Entry(2, 100));
  queue.Push(Entry(3, 200));
  cr_assert(queue.Front(WorkClass::kShort)->request == RequestId(2));
  queue.Remove(RequestId(2));
  cr_assert(queue.Front(WorkClass::kShort)->request == RequestId(3));
}

// Guards against queued bodies that exceed the memory bound, and against bytes
// that stay counted after a removal.
Test(deadline_queue, bounds_count_and_bytes) {
  DeadlineQueue queue;
  queue.SetLimits(2, 100);
  cr_assert_not(queue.HasRoom(101));
  queue.Push(Entry(1, 100, 60));
  cr_assert(queue.HasRoom(40));
  cr_assert_not(queue.HasRoom(41));
  queue.Push(Entry(2, 100, 0));
  cr_assert_not(queue.HasRoom(0));
  queue.Remove(RequestId(1));
  cr_assert(queue.HasRoom(100));
}

// Guards against a wait estimate that counts requests with later deadlines.
Test(deadline_queue, counts_only_earlier_deadlines) {
  DeadlineQueue queue;
  for (int i = 0; i < 5; ++i) {
    queue.Push(Entry(static_cast<std::uint64_t>(i), 100 * i));
  }
  const auto count = [&](int deadline_ms) {
    return queue.CountBefore(WorkClass::kShort,
                             TimePoint(std::chrono::milliseconds(deadline_ms)),
                             100);
  };
  cr_assert_eq(count(150), 2);
  cr_assert_eq(count(400), 5);
}

}  // namespace
}  // namespace flamingoyoke
