#include "decision/dispatch/retry_budget.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

auto CountAllowed(RetryBudget& budget, TimePoint now) -> int {
  int allowed = 0;
  while (allowed < 1000 && budget.Allow(now)) {
    ++allowed;
  }
  return allowed;
}

// Guards against retries that multiply the load of a failing service.
Test(retry_budget, allows_a_share_of_first_attempts) {
  RetryBudget budget;
  budget.Configure(0.1);
  for (int i = 0; i < 200; ++i) {
    budget.OnFirstAttempt(kNow);
  }
  cr_assert_eq(CountAllowed(budget, kNow), 20);
}

// Guards against a budget that never recovers or that counts traffic older than
// the window.
Test(retry_budget, ignores_attempts_older_than_the_window) {
  RetryBudget budget;
  budget.Configure(0.1);
  for (int i = 0; i < 200; ++i) {
    budget.OnFirstAttempt(kNow);
  }
  CountAllowed(budget, kNow);
  cr_assert_eq(CountAllowed(budget, kNow + std::chrono::seconds(10)),
               static_cast<int>(RetryBudget::kMinRetries));
}

// Guards against retries although the operators disabled them.
Test(retry_budget, zero_share_allows_none) {
  RetryBudget budget;
  budget.OnFirstAttempt(kNow);
  cr_assert_eq(CountAllowed(budget, kNow), 0);
}

}  // namespace
}  // namespace flamingoyoke
