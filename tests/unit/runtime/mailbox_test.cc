#include "runtime/mailbox.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <variant>

namespace flamingoyoke {
namespace {

struct Sample {
  int value = 0;
};
struct Snapshot {
  int value = 0;
};
struct Work {
  std::string text;
};
using Message = std::variant<Sample, Snapshot, Work>;

}  // namespace

template <>
inline constexpr MailboxPolicy kMailboxPolicy<Snapshot> =
    MailboxPolicy::kCoalesce;
template <>
inline constexpr MailboxPolicy kMailboxPolicy<Work> =
    MailboxPolicy::kBackPressure;

namespace {

// Guards against unbounded memory use when a task falls behind.
Test(mailbox, sheds_and_counts_when_full) {
  Mailbox<Message> mailbox(2);
  cr_assert(mailbox.Post(Sample{1}) == PostResult::kAccepted);
  cr_assert(mailbox.Post(Sample{2}) == PostResult::kAccepted);
  cr_assert(mailbox.Post(Sample{3}) == PostResult::kShed);
  cr_assert_eq(mailbox.shed_count(), 1);
  cr_assert_eq(mailbox.TakeAll().size(), 2);
}

// Guards against a task that processes outdated snapshots.
Test(mailbox, coalesces_to_the_latest) {
  Mailbox<Message> mailbox(1);
  cr_assert(mailbox.Post(Snapshot{1}) == PostResult::kAccepted);
  cr_assert(mailbox.Post(Snapshot{2}) == PostResult::kCoalesced);
  const auto taken = mailbox.TakeAll();
  cr_assert_eq(taken.size(), 1);
  cr_assert_eq(std::get<Snapshot>(taken.front()).value, 2);
}

// Guards against an old snapshot that is handled last, after a batch was put
// back.
Test(mailbox, the_latest_snapshot_comes_last_after_a_put_back) {
  Mailbox<Message> mailbox(8);
  mailbox.Post(Snapshot{1});
  auto taken = mailbox.TakeAll();
  mailbox.Post(Snapshot{2});
  mailbox.PutBack(std::move(taken));
  mailbox.Post(Snapshot{3});
  const auto left = mailbox.TakeAll();
  cr_assert_eq(std::get<Snapshot>(left.back()).value, 3);
}

// Guards against losing a message that the mailbox refused: the sender must
// still hold it.
Test(mailbox, refuses_with_back_pressure_and_leaves_the_message) {
  Mailbox<Message> mailbox(1);
  cr_assert(mailbox.Post(Work{"first"}) == PostResult::kAccepted);
  Message message = Work{"second"};
  cr_assert(mailbox.Post(std::move(message)) == PostResult::kRefused);
  cr_assert(std::get<Work>(message).text == "second");
}

}  // namespace
}  // namespace flamingoyoke
