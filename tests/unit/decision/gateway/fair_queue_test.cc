#include "decision/gateway/fair_queue.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

auto MakeFlow(std::uint32_t priority, const std::string& team)
    -> FairQueue::FlowId {
  return {priority, TeamId(team), "r"};
}

auto Add(FairQueue& queue,
         std::uint64_t id,
         const FairQueue::FlowId& flow,
         int deadline_ms = 1000) -> void {
  queue.OnArrived(flow, kStart);
  queue.Insert(RequestId(id), flow, kStart + milliseconds(deadline_ms));
}

// Starts all requests; returns their ids in order.
auto Drain(
    FairQueue& queue,
    const std::vector<std::pair<std::uint64_t, FairQueue::FlowId>>& flows)
    -> std::string {
  std::string order;
  while (const auto next = queue.Next({})) {
    queue.Erase(*next);
    for (const auto& [id, flow] : flows) {
      if (RequestId(id) == *next) {
        queue.OnStarted(flow, true, kStart);
      }
    }
    order += std::to_string(next->value()) + " ";
  }
  return order;
}

}  // namespace

// Guards against a team whose requests wait behind all those that another one
// sent before, and against late deadlines that go first within a flow.
Test(fair_queue, flows_take_turns_by_deadline) {
  FairQueue queue;
  const auto loud = MakeFlow(1, "loud");
  const auto quiet = MakeFlow(1, "quiet");
  Add(queue, 1, loud, 900);
  Add(queue, 2, loud, 800);
  Add(queue, 3, loud, 700);
  Add(queue, 4, quiet, 1000);
  Add(queue, 5, quiet, 950);
  cr_assert_eq(queue.size(), 5U);
  cr_assert_eq(
      Drain(queue, {{1, loud}, {2, loud}, {3, loud}, {4, quiet}, {5, quiet}}),
      "3 5 2 4 1 ");
  cr_assert(queue.empty());
}

// Guards against a flow that makes up for the time in which it sent nothing.
Test(fair_queue, an_idle_flow_saves_no_turns) {
  FairQueue queue;
  const auto steady = MakeFlow(1, "steady");
  const auto late = MakeFlow(1, "late");
  queue.OnArrived(late, kStart);
  queue.OnStarted(late, true, kStart);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    Add(queue, id, steady);
  }
  for (std::uint64_t id = 1; id <= 3; ++id) {
    queue.Erase(RequestId(id));
    queue.OnStarted(steady, true, kStart);
  }
  Add(queue, 6, late, 2000);
  Add(queue, 7, late, 2000);
  cr_assert_eq(Drain(queue, {{4, steady}, {5, steady}, {6, late}, {7, late}}),
               "6 4 7 5 ");
}

// Guards against estimates that follow another order than the starts.
Test(fair_queue, places_follow_the_turns) {
  FairQueue queue;
  const auto urgent = MakeFlow(0, "a");
  const auto loud = MakeFlow(1, "loud");
  const auto quiet = MakeFlow(1, "quiet");
  Add(queue, 1, urgent);
  Add(queue, 2, loud, 700);
  Add(queue, 3, loud, 800);
  Add(queue, 4, loud, 900);
  Add(queue, 5, quiet, 1000);
  std::string places;
  queue.Visit([&](RequestId id, const FairQueue::Place& place) {
    places +=
        std::to_string(id.value()) + "@" + std::to_string(place.ahead) + " ";
    // The refused ones delay nobody.
    return id != RequestId(3);
  });
  cr_assert_eq(places, "1@0 2@1 5@2 3@3 4@3 ");
  cr_assert_eq(queue.PlaceOf(RequestId(6), quiet, kStart + seconds(9)).ahead,
               4U);
  cr_assert_eq(
      queue.PlaceOf(RequestId(6), MakeFlow(1, "new"), kStart + seconds(9))
          .ahead,
      3U);
  cr_assert_eq(queue.PlaceOf(RequestId(6), urgent, kStart + seconds(9)).ahead,
               1U);
}

// Guards against a less urgent kind that never starts while more urgent
// requests wait, and against one that gets more than its guarantee.
Test(fair_queue, a_kind_that_is_left_out_earns_starts) {
  FairQueue queue;
  const auto urgent = MakeFlow(0, "a");
  const auto later = MakeFlow(2, "a");
  std::uint64_t id = 0;
  std::size_t later_starts = 0;
  auto now = kStart;
  for (int i = 0; i < 1000; ++i) {
    now += milliseconds(10);
    for (const auto& flow : {urgent, later}) {
      queue.OnArrived(flow, now);
      queue.Insert(RequestId(++id), flow, now + seconds(1));
    }
    const auto next = queue.Next({});
    cr_assert(next.has_value());
    queue.Erase(*next);
    const bool is_later = next->value() % 2 == 0;
    later_starts += is_later ? 1 : 0;
    queue.OnStarted(is_later ? later : urgent, true, now);
  }
  // Half of all requests start, so a quarter as often is 125.
  cr_assert_geq(later_starts, 125U);
  cr_assert_leq(later_starts, 160U);
}

// Guards against memory that grows with the number of teams that ever came.
Test(fair_queue, forgets_idle_flows) {
  FairQueue queue;
  Add(queue, 1, MakeFlow(1, "waits"));
  for (std::size_t i = 0; i < 3 * FairQueue::kMaxIdleFlows; ++i) {
    queue.OnArrived(MakeFlow(1, "t" + std::to_string(i)), kStart);
    cr_assert_leq(queue.flow_count(), FairQueue::kMaxIdleFlows + 2);
  }
  cr_assert(queue.Contains(RequestId(1)));
  cr_assert(queue.Next({}) == RequestId(1));
  cr_assert_eq(queue.CountByPriority().at(1), 1U);
}

}  // namespace flamingoyoke
