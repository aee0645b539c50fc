#include "node/mailbox_reporter.h"

#include <criterion/criterion.h>

#include <algorithm>

namespace flamingoyoke {
namespace {

auto ShedCount(const std::vector<MetricSample>& samples,
               const std::string& name) -> double {
  const auto found = std::find_if(
      samples.begin(), samples.end(),
      [&](const MetricSample& each) { return each.label_value == name; });
  cr_assert(found != samples.end());
  return found->value;
}

}  // namespace

// Guards against messages between tasks that are dropped without a record.
Test(mailbox_reporter, counts_messages_that_a_full_mailbox_dropped) {
  Mailboxes mailboxes;
  MailboxReporter reporter(mailboxes);
  cr_assert_eq(ShedCount(reporter.Report(), "fleet"), 0);
  for (int i = 0; i < 1030; ++i) {
    mailboxes.fleet.Post(PeerMessageReceived{});
  }
  const auto samples = reporter.Report();
  cr_assert_eq(ShedCount(samples, "fleet"), 6);
  cr_assert_eq(ShedCount(samples, "mesh"), 0);
}

}  // namespace flamingoyoke
