#include "node/control/store/table_outbox.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

// Drains the mailbox and returns the revisions of the posted versions.
auto DrainRevisions(Mailbox<FleetMessage>& mailbox)
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

// Guards against losing a version when the mailbox is full: the reader
// continues to watch from a later revision and never reads it again.
Test(table_outbox, a_version_refused_by_a_full_mailbox_is_posted_later) {
  Mailbox<FleetMessage> mailbox(1);
  mailbox.Post(PeerMessageReceived{});
  TableOutbox outbox(mailbox);
  outbox.Post({0, Revision(7), "seven"});
  outbox.Post({0, Revision(8), "eight"});
  outbox.PostPending();
  cr_assert(outbox.has_pending());
  cr_assert(DrainRevisions(mailbox).empty());
  outbox.PostPending();
  cr_assert_not(outbox.has_pending());
  cr_assert(DrainRevisions(mailbox) == std::vector<std::uint64_t>{8});
}

// Guards against an older version replacing a newer pending one.
Test(table_outbox, keeps_the_newest_version_of_each_shard) {
  Mailbox<FleetMessage> mailbox(2);
  mailbox.Post(PeerMessageReceived{});
  mailbox.Post(PeerMessageReceived{});
  TableOutbox outbox(mailbox);
  outbox.Post({0, Revision(8), "eight"});
  outbox.Post({0, Revision(7), "seven"});
  outbox.Post({1, Revision(3), "three"});
  cr_assert(DrainRevisions(mailbox).empty());
  outbox.PostPending();
  cr_assert(DrainRevisions(mailbox) == (std::vector<std::uint64_t>{8, 3}));
}

}  // namespace flamingoyoke
