#include "decision/gateway/retry_slack.h"

#include <criterion/criterion.h>

namespace flamingoyoke {

// Guards against a budget that is exceeded by many vms with few requests each:
// jutagatt, deploy/days/replacement.toml --vary --seed 199040960171, where 138
// repeats followed 405 requests (137 allowed), as each of 32 vms had 10.
Test(retry_slack, all_vms_together_stay_within_the_slack) {
  for (const std::uint32_t slack : {1U, 10U, 56U, 60U, 222U}) {
    for (const std::size_t members : {1U, 3U, 4U, 32U, 40U, 138U, 7100U}) {
      for (const std::size_t entries : {1U, 3U, 5U}) {
        if (entries > members) {
          continue;
        }
        const auto sum =
            entries * RetrySlackOf(slack, {entries, members, true}) +
            (members - entries) *
                RetrySlackOf(slack, {entries, members, false});
        cr_assert_leq(sum, slack);
      }
    }
  }
}

// Guards against vms that can never retry, where the slack is enough for all.
Test(retry_slack, each_vm_of_todays_sites_has_one) {
  cr_assert_geq(RetrySlackOf(56, {3, 32, false}), 1U);
  cr_assert_geq(RetrySlackOf(60, {3, 40, false}), 1U);
  cr_assert_geq(RetrySlackOf(56, {3, 32, true}), 6U);
}

}  // namespace flamingoyoke
