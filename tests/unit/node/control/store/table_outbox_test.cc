#include "node/control/store/table_outbox.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

// Returns the revisions of the versions that the fleet task would take.
auto TakeRevisions(Mailbox<FleetMessage>& mailbox)
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> revisions;
  for (const auto& message : mailbox.TakeAll()) {
    if (const auto* read = std::get_if<TableRead>(&message)) {
      revisions.push_back(read->revision.value());
    }
  }
  return revisions;
}

}  // namespace

// Guards against a change that is never in force since it met a full mailbox:
// the reader goes on watching behind it.
Test(table_outbox, a_version_that_met_a_full_mailbox_is_posted_later) {
  Mailbox<FleetMessage> mailbox(1);
  mailbox.Post(PeerMessageReceived{});
  TableOutbox outbox(mailbox);
  outbox.Post({0, Revision(7), "seven"});
  outbox.Post({0, Revision(8), "eight"});
  outbox.PostKept();
  cr_assert(outbox.has_kept());
  cr_assert(TakeRevisions(mailbox).empty());
  outbox.PostKept();
  cr_assert_not(outbox.has_kept());
  cr_assert(TakeRevisions(mailbox) == std::vector<std::uint64_t>{8});
}

// Guards against an older version that replaces the one that waits.
Test(table_outbox, keeps_the_newest_version_of_each_shard) {
  Mailbox<FleetMessage> mailbox(2);
  mailbox.Post(PeerMessageReceived{});
  mailbox.Post(PeerMessageReceived{});
  TableOutbox outbox(mailbox);
  outbox.Post({0, Revision(8), "eight"});
  outbox.Post({0, Revision(7), "seven"});
  outbox.Post({1, Revision(3), "three"});
  cr_assert(TakeRevisions(mailbox).empty());
  outbox.PostKept();
  cr_assert(TakeRevisions(mailbox) == (std::vector<std::uint64_t>{8, 3}));
}

}  // namespace flamingoyoke
