// Returns of the store from an older copy, as one reader takes them in.

#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "decision/platform/registry_tracker.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr TimePoint kBack = kStart + std::chrono::seconds(2);
// The store was available long before the start and until then.
constexpr StoreContact kAvailable{kStart, kStart - std::chrono::seconds(60)};
constexpr StoreEra kBefore{1};
constexpr StoreEra kAfter{2};

auto Target(const char* id, std::uint64_t sequence = 7) -> RegisteredTarget {
  RegisteredTarget target;
  target.id = TargetId(id);
  target.service = ServiceId("orders");
  target.host = "10.0.0.1";
  target.port = 8080;
  target.started_ms = 1'700'000'000'000;
  target.sequence = sequence;
  return target;
}

auto Leaving(const char* id, std::uint64_t sequence) -> RegisteredTarget {
  auto target = Target(id, sequence);
  target.leaving = true;
  return target;
}

auto MakeRegistry(StoreEra era,
                  std::uint64_t revision,
                  std::vector<RegisteredTarget> targets)
    -> std::shared_ptr<const Registry> {
  return std::make_shared<const Registry>(
      Registry{Revision(revision * RegistryTracker::kStepsPerRevision),
               std::move(targets), era});
}

// The store answers with a complete list.
auto List(RegistryTracker& tracker,
          const std::vector<RegisteredTarget>& targets,
          StoreEra era,
          TimePoint now) -> void {
  tracker.OnAnswered(now, now);
  tracker.OnListed(targets, era, now);
}

// Returns a reader that has followed `targets` up to revision 60 of kBefore.
auto MakeReader(const std::vector<RegisteredTarget>& targets)
    -> RegistryTracker {
  RegistryTracker tracker;
  tracker.OnStarted(kAvailable);
  List(tracker, targets, kBefore, kStart);
  tracker.OnCurrentRegistry(MakeRegistry(kBefore, 60, targets), kStart);
  return tracker;
}

// Returns the ids of a proposal's targets; "none" without a proposal.
auto Proposed(RegistryTracker& tracker, std::uint64_t revision, TimePoint now)
    -> std::string {
  const auto registry = tracker.ProposeRegistry(revision, now);
  if (!registry) {
    return "none";
  }
  std::string ids;
  for (const auto& target : registry->targets) {
    ids += target.id.value();
    ids += target.leaving ? "(leaving)" : "";
  }
  return ids;
}

}  // namespace

// Guards against a registry that is frozen until the revisions that are given
// out again reach those of before the return.
Test(store_return, a_later_era_replaces_a_higher_revision) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  List(tracker, {Target("a"), Target("b")}, kAfter, kBack);
  const auto taken_in = tracker.ProposeRegistry(19, kBack);
  cr_assert(taken_in.has_value());
  cr_assert(taken_in->era == kAfter);
  cr_assert(taken_in->revision ==
            Revision(19 * RegistryTracker::kStepsPerRevision));
  tracker.OnCurrentRegistry(std::make_shared<const Registry>(*taken_in), kBack);
  tracker.OnChanged(Leaving("b", 8), kBack);
  tracker.OnChanged(Target("c"), kBack);
  cr_assert_eq(Proposed(tracker, 21, kBack), "ab(leaving)c");
}

// Guards against requests to a target that was removed before the return and is
// in the copy again.
Test(store_return, a_removed_target_is_not_restored_by_the_copy) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  tracker.OnRemoved(TargetId("a"), kStart);
  tracker.OnCurrentRegistry(MakeRegistry(kBefore, 61, {Target("b")}), kStart);
  List(tracker, {Target("a"), Target("b")}, kAfter, kBack);
  auto proposed = tracker.ProposeRegistry(19, kBack);
  cr_assert_eq(proposed->targets.size(), 1U);
  tracker.OnCurrentRegistry(std::make_shared<const Registry>(*proposed), kBack);
  List(tracker, {Target("a"), Target("b")}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "none", "restored by a list");
  tracker.OnChanged(Target("a"), kBack);
  cr_assert_eq(Proposed(tracker, 20, kBack), "ab",
               "its entry was written again");
}

// Guards against losing a target for good that lapsed before the return and
// reports or has started since.
Test(store_return, a_removed_target_returns_with_a_report_or_a_start) {
  auto tracker = MakeReader({Target("a"), Target("b"), Target("c")});
  tracker.OnRemoved(TargetId("a"), kStart);
  tracker.OnRemoved(TargetId("c"), kStart);
  auto restarted = Target("c", 1);
  restarted.started_ms += 5000;
  List(tracker, {Target("a"), Target("b"), restarted}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "bc");
  tracker.OnChanged(Target("a", 8), kBack);
  cr_assert_eq(Proposed(tracker, 20, kBack), "abc");
}

// Guards against requests to a target that reported before the return that it
// is leaving, while the copy has its entry of before.
Test(store_return, a_leaving_target_is_not_ready_by_the_copy) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  tracker.OnChanged(Leaving("a", 8), kStart);
  List(tracker, {Target("a", 7), Target("b")}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "a(leaving)b");
  tracker.OnChanged(Target("a", 9), kBack);
  cr_assert_eq(Proposed(tracker, 20, kBack), "ab");
}

// Guards against the same for a target that does not number its reports.
Test(store_return, a_leaving_target_without_numbers_is_not_ready_by_the_copy) {
  auto tracker = MakeReader({Target("a", 0), Target("b")});
  tracker.OnChanged(Leaving("a", 0), kStart);
  List(tracker, {Target("a", 0), Target("b")}, kAfter, kBack);
  auto proposed = tracker.ProposeRegistry(19, kBack);
  cr_assert(proposed.has_value());
  tracker.OnCurrentRegistry(std::make_shared<const Registry>(*proposed), kBack);
  List(tracker, {Target("a", 0), Target("b")}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "none", "ready by a second list");
}

// Guards against dropping a live target that registered after the copy was
// taken, and against keeping one for good that has ended.
Test(store_return, a_target_that_the_copy_lacks_is_kept_until_it_registers) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  List(tracker, {Target("b")}, kAfter, kBack);
  const auto synchronized = kBack + RegistryTracker::kPeerSyncTime;
  tracker.OnAnswered(synchronized, synchronized);
  cr_assert_eq(Proposed(tracker, 19, synchronized), "ab");
  const auto settled = kBack + RegistryTracker::kSettleTime;
  tracker.OnAnswered(settled, settled);
  cr_assert_eq(Proposed(tracker, 19, settled), "b");
}

// Guards against the same by a VM that is elected after the return and is told
// that the store was available all the time.
Test(store_return, a_new_reader_keeps_a_target_that_the_copy_lacks) {
  RegistryTracker tracker;
  tracker.OnCurrentRegistry(
      MakeRegistry(kBefore, 60, {Target("a"), Target("b")}), kStart);
  tracker.OnStarted(kAvailable);
  List(tracker, {Target("b")}, kAfter, kBack);
  const auto synchronized = kBack + RegistryTracker::kPeerSyncTime;
  cr_assert_eq(Proposed(tracker, 19, synchronized), "ab");
}

// Guards against requests to a removed target through a VM that is elected
// after the return and knows of the removal by the registries in force only.
Test(store_return, a_new_reader_does_not_restore_a_removed_target) {
  RegistryTracker tracker;
  tracker.OnCurrentRegistry(
      MakeRegistry(kBefore, 59, {Target("a"), Target("b")}), kStart);
  tracker.OnCurrentRegistry(MakeRegistry(kBefore, 60, {Target("b")}), kStart);
  tracker.OnStarted(kAvailable);
  // Reports are numbered on without a new registry.
  List(tracker, {Target("a", 97), Target("b", 97)}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "b");
}

// Guards against the same by a VM that is elected once the registry of the new
// era is in force.
Test(store_return, a_later_reader_does_not_restore_a_removed_target) {
  RegistryTracker tracker;
  tracker.OnCurrentRegistry(
      MakeRegistry(kBefore, 59, {Target("a"), Target("b")}), kStart);
  tracker.OnCurrentRegistry(MakeRegistry(kAfter, 19, {Target("b")}), kBack);
  tracker.OnStarted(kAvailable);
  List(tracker, {Target("a"), Target("b")}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 20, kBack), "none");
}

// Guards against the same by a reader that missed the removal, which another
// one has read.
Test(store_return, a_reader_that_missed_the_removal_does_not_restore_it) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  tracker.OnCurrentRegistry(MakeRegistry(kBefore, 61, {Target("b")}), kStart);
  List(tracker, {Target("a"), Target("b")}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "b");
}

// Guards against two readers, one of which knows no more than the copy, that
// replace each other's registry with every read.
Test(store_return, readers_agree_on_a_target_that_left) {
  auto older = MakeReader({Target("a"), Target("b"), Target("c")});
  older.OnRemoved(TargetId("a"), kStart);
  older.OnChanged(Leaving("c", 8), kStart);
  RegistryTracker newer;
  const std::vector copy = {Target("a"), Target("b"), Target("c")};
  List(newer, copy, kAfter, kBack);
  List(older, copy, kAfter, kBack);
  auto in_force =
      std::make_shared<const Registry>(*newer.ProposeRegistry(19, kBack));
  std::vector readers = {&older, &newer};
  int proposals = 0;
  for (int i = 0; i < 6; ++i) {
    older.OnCurrentRegistry(in_force, kBack);
    newer.OnCurrentRegistry(in_force, kBack);
    if (const auto next = readers[i % 2]->ProposeRegistry(19, kBack)) {
      in_force = std::make_shared<const Registry>(*next);
      ++proposals;
    }
  }
  cr_assert_eq(proposals, 1);
  cr_assert_eq(in_force->targets.size(), 2U);
  cr_assert(in_force->targets.back().leaving);
}

// Guards against a live target that is dropped because a VM that started after
// the return has proposed the bare copy.
Test(store_return, a_reader_keeps_what_a_new_one_does_not_know) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  tracker.OnCurrentRegistry(MakeRegistry(kAfter, 19, {Target("b")}), kBack);
  List(tracker, {Target("b")}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "ab");
}

// Guards against a VM that was a reader long ago and restores what it listed
// then.
Test(store_return, a_reader_elected_again_forgets_its_last_list) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  tracker.OnCurrentRegistry(MakeRegistry(kBefore, 61, {Target("b")}), kStart);
  tracker.OnStarted(kAvailable);
  List(tracker, {Target("a"), Target("b")}, kAfter, kBack);
  cr_assert_eq(Proposed(tracker, 19, kBack), "b");
}

// Guards against a reader that has not seen the return yet and replaces what
// another reader has built from it.
Test(store_return, an_earlier_era_proposes_nothing) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  tracker.OnCurrentRegistry(MakeRegistry(kAfter, 19, {Target("b")}), kStart);
  tracker.OnChanged(Target("c"), kStart);
  cr_assert_eq(Proposed(tracker, 61, kStart), "none");
}

// Guards against a second return that comes before the first is taken in.
Test(store_return, a_second_return_keeps_what_was_known_before_the_first) {
  auto tracker = MakeReader({Target("a"), Target("b"), Target("c")});
  tracker.OnRemoved(TargetId("a"), kStart);
  tracker.OnChanged(Leaving("b", 8), kStart);
  List(tracker, {Target("a"), Target("b"), Target("c")}, kAfter, kBack);
  const auto again = kBack + milliseconds(500);
  List(tracker, {Target("a"), Target("b")}, StoreEra(3), again);
  const auto synchronized = again + RegistryTracker::kPeerSyncTime;
  cr_assert_eq(Proposed(tracker, 12, synchronized), "b(leaving)c");
}

// Guards against a removed target that gets requests until the watch that waits
// over the settling time is answered: its registry was in force 3.02 s after a
// return.
Test(store_return, tells_when_a_missing_target_can_be_dropped) {
  auto tracker = MakeReader({Target("a"), Target("b")});
  cr_assert_not(tracker.TimeUntilSettled(kBack).has_value());
  List(tracker, {Target("b")}, kAfter, kBack);
  const auto later = kBack + milliseconds(2000);
  cr_assert(*tracker.TimeUntilSettled(later) ==
            RegistryTracker::kSettleTime - milliseconds(2000));
  const auto settled = kBack + RegistryTracker::kSettleTime;
  tracker.OnAnswered(settled, settled);
  cr_assert_not(tracker.TimeUntilSettled(settled).has_value());
}

}  // namespace flamingoyoke
