#include "decision/gateway/retry_slack.h"

#include <criterion/criterion.h>

namespace flamingoyoke {

// Guards against exceeding the retry budget with many VMs that get few requests
// each: with jutagatt and deploy/days/replacement.toml --vary --seed
// 199040960171, 138 retries followed 405 requests (137 allowed), because each
// of 32 VMs had a slack of 10.
Test(retry_slack, all_vms_together_stay_within_the_slack) {
  for (const std::uint32_t slack : {1U, 10U, 56U, 60U, 222U}) {
    for (const std::size_t members : {1U, 3U, 4U, 32U, 40U, 138U, 7100U}) {
      for (const std::size_t entries : {1U, 3U, 5U}) {
        if (entries > members) {
          continue;
        }
        const auto sum =
            entries * LocalRetrySlack(slack, {entries, members, true}) +
            (members - entries) *
                LocalRetrySlack(slack, {entries, members, false});
        cr_assert_leq(sum, slack);
      }
    }
  }
}

// Guards against VMs that can never retry although the slack suffices for all.
Test(retry_slack, each_vm_of_known_sites_has_a_retry) {
  cr_assert_geq(LocalRetrySlack(56, {3, 32, false}), 1U);
  cr_assert_geq(LocalRetrySlack(60, {3, 40, false}), 1U);
  cr_assert_geq(LocalRetrySlack(56, {3, 32, true}), 6U);
}

}  // namespace flamingoyoke
