#include "runtime/restart_policy.h"

#include <criterion/criterion.h>

#include <variant>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Error kFailure{ErrorKind::kInternal, "failure made by the test"};

auto DelayOf(const RestartDecision& decision) -> Duration {
  const auto* restart = std::get_if<RestartAfter>(&decision);
  cr_assert(restart != nullptr, "the failure was escalated");
  return restart->delay;
}

}  // namespace

// Guards against restarts that follow each other at once, and against a limit
// that is never reached.
Test(restart_policy, delays_grow_until_the_limit) {
  RestartPolicy policy({.restarts = 3, .window = seconds(30)});
  const TimePoint now{seconds(100)};
  cr_assert(DelayOf(policy.OnFailure(kFailure, true, now)) == Duration::zero());
  cr_assert(DelayOf(policy.OnFailure(kFailure, true, now)) ==
            milliseconds(100));
  cr_assert(DelayOf(policy.OnFailure(kFailure, true, now)) ==
            milliseconds(200));
  cr_assert(std::holds_alternative<EscalateFailure>(
      policy.OnFailure(kFailure, true, now)));
}

// Guards against failures that count for good.
Test(restart_policy, forgets_failures_after_the_window) {
  RestartPolicy policy({.restarts = 1, .window = seconds(30)});
  const TimePoint now{seconds(100)};
  cr_assert(DelayOf(policy.OnFailure(kFailure, true, now)) == Duration::zero());
  cr_assert(DelayOf(policy.OnFailure(kFailure, true, now + seconds(31))) ==
            Duration::zero());
}

// Guards against a process that gives up while its predecessor still closes.
Test(restart_policy, waits_for_an_address_without_limit) {
  RestartPolicy policy({.restarts = 1, .window = seconds(30)});
  const Error in_use{ErrorKind::kAddressInUse, "held by the test"};
  TimePoint now{seconds(100)};
  for (int i = 0; i < 100; ++i) {
    const auto delay = DelayOf(policy.OnFailure(in_use, false, now));
    cr_assert_gt(delay.count(), 0);
    now += delay;
  }
  cr_assert(DelayOf(policy.OnFailure(kFailure, true, now)) == Duration::zero());
}

// Guards against a process that ends, since the system refuses it a thread, a
// descriptor or memory at the start.
Test(restart_policy, waits_for_a_refused_resource_without_limit) {
  RestartPolicy policy({.restarts = 1, .window = seconds(30)});
  const Error refused{ErrorKind::kResourceRefused, "refused by the test"};
  const TimePoint now{seconds(100)};
  cr_assert(DelayOf(policy.OnFailure(refused, false, now)) ==
            milliseconds(200));
  cr_assert(DelayOf(policy.OnFailure(refused, false, now)) ==
            milliseconds(400));
  for (int i = 0; i < 100; ++i) {
    cr_assert_leq(DelayOf(policy.OnFailure(refused, false, now)).count(),
                  Duration(seconds(2)).count());
  }
  cr_assert(DelayOf(policy.OnFailure(refused, true, now)) == Duration::zero());
  cr_assert(std::holds_alternative<EscalateFailure>(
      policy.OnFailure(refused, true, now)));
}

// Guards against a VM that stays ready while another process holds the address
// of a task that failed.
Test(restart_policy, counts_an_address_that_is_lost_later) {
  RestartPolicy policy({.restarts = 2, .window = seconds(30)});
  const Error in_use{ErrorKind::kAddressInUse, "held by the test"};
  const TimePoint now{seconds(100)};
  cr_assert(DelayOf(policy.OnFailure(kFailure, true, now)) == Duration::zero());
  cr_assert(DelayOf(policy.OnFailure(in_use, true, now)) == milliseconds(100));
  cr_assert(std::holds_alternative<EscalateFailure>(
      policy.OnFailure(in_use, true, now)));
}

}  // namespace flamingoyoke
