#include "node/traffic/body_budget.h"

#include <criterion/criterion.h>

#include <utility>

namespace flamingoyoke {
namespace {

// Guards against a reservation that is released twice or never after moves.
Test(body_budget, reservations_are_released_once) {
  BodyBudget budget(100);
  {
    auto first = budget.Reserve(60);
    cr_assert(budget.CanReserve(40));
    cr_assert_not(budget.CanReserve(41));
    auto second = std::move(first);
    BodyBudget::Reservation third;
    third = std::move(second);
    cr_assert_eq(third.bytes(), 60U);
    cr_assert_eq(budget.used(), 60U);
    auto other = budget.Reserve(40);
    third = std::move(other);
  }
  cr_assert_eq(budget.used(), 0U);
  cr_assert(budget.CanReserve(100));
  cr_assert_not(budget.CanReserve(101));
}

}  // namespace
}  // namespace flamingoyoke
