#include "decision/memory/memory_budget.h"

#include <criterion/criterion.h>

#include <cstdint>

namespace flamingoyoke {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kLimit = 1'600'000;

auto At(int second) -> TimePoint {
  return TimePoint() + seconds(second);
}

// Reports that a holder that may give way holds `bytes` and moved on.
auto Hold(MemoryBudget& budget, std::uint64_t id, std::uint64_t bytes, int time)
    -> std::size_t {
  return budget.OnEvent(MemoryHeld{HolderId(id), bytes, bytes, true}, At(time))
      .size();
}

// Guards against a caller that moves and is closed for those that don't.
Test(memory_budget, who_holds_much_without_progress_gives_way) {
  MemoryBudget budget({.bytes = kLimit});
  Hold(budget, 1, 100'000, 0);
  Hold(budget, 2, 700'000, 0);
  Hold(budget, 3, 750'000, 9);
  const auto actions = budget.OnEvent(MemoryWanted{200'000}, At(10));
  cr_assert_eq(actions.size(), 1U);
  cr_expect(actions[0].holder == HolderId(2));
  cr_expect(budget.HasRoom(200'000));
  cr_expect_eq(budget.given_way(), 1U);
}

Test(memory_budget, nobody_gives_way_while_all_move) {
  MemoryBudget budget({.bytes = kLimit});
  Hold(budget, 1, 1'500'000, 10);
  cr_expect(budget.OnEvent(MemoryWanted{200'000}, At(10)).empty());
  cr_expect_not(budget.HasRoom(200'000));
}

// Guards against a process that grows while every caller moves a little.
Test(memory_budget, the_limit_holds_whatever_the_progress) {
  MemoryBudget budget({.bytes = kLimit});
  cr_expect_eq(Hold(budget, 1, 900'000, 1), 0U);
  cr_expect_eq(Hold(budget, 2, 800'000, 1), 1U);
  cr_expect_leq(budget.used(), kLimit);
}

// Guards against requests at a target that are cut off to free memory.
Test(memory_budget, holders_that_must_not_give_way_stay) {
  MemoryBudget budget({.bytes = kLimit});
  const auto actions =
      budget.OnEvent(MemoryHeld{HolderId(1), 2 * kLimit, 0, true}, At(0));
  cr_expect(actions.empty());
  cr_expect_not(budget.HasRoom(1));
  budget.OnEvent(MemoryReleased{HolderId(1)}, At(1));
  cr_expect_eq(budget.used(), 0U);
}

Test(memory_budget, a_part_is_kept_for_small_requests) {
  MemoryBudget budget({.bytes = kLimit});
  Hold(budget, 1, kLimit - 50'000, 0);
  cr_expect_not(budget.HasRoom(40'000));
  cr_expect(budget.HasRoom(10'000));
}

// Guards against answers that nobody reads and that end the service for all.
Test(memory_budget, unread_answers_give_way_when_answers_hold_much) {
  MemoryBudget budget({.bytes = kLimit});
  budget.OnEvent(MemoryHeld{HolderId(1), 1000, 300'000, true}, At(0));
  cr_expect(budget.OnEvent(OtherMemoryHeld{300'000, 600'000}, At(5)).empty());
  const auto actions = budget.OnEvent(OtherMemoryHeld{500'000, 600'000}, At(5));
  cr_expect_eq(actions.size(), 1U);
}

}  // namespace
}  // namespace flamingoyoke
