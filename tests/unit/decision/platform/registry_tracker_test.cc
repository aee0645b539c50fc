#include "decision/platform/registry_tracker.h"

#include <criterion/criterion.h>

#include <chrono>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

auto Target(const char* id) -> RegisteredTarget {
  RegisteredTarget target;
  target.id = TargetId(id);
  target.service = ServiceId("orders");
  target.host = "10.0.0.1";
  target.port = 8080;
  return target;
}

auto InForce(std::uint64_t revision, std::vector<RegisteredTarget> targets)
    -> std::shared_ptr<const Registry> {
  return std::make_shared<const Registry>(
      Registry{Revision(revision * RegistryTracker::kStepsPerRevision),
               std::move(targets)});
}

// A reader that has listed `targets` and is settled.
auto SettledTracker(const std::vector<RegisteredTarget>& targets)
    -> RegistryTracker {
  RegistryTracker tracker;
  tracker.OnListed(targets, kStart - milliseconds(5000));
  tracker.OnInForce(InForce(10, targets));
  tracker.OnAnswered(kStart);
  return tracker;
}

}  // namespace

// Guards against a fleet that stays without targets after all vms restart.
Test(registry_tracker, proposes_at_once_while_nothing_is_in_force) {
  RegistryTracker tracker;
  tracker.OnListed({Target("a")}, kStart);
  const auto registry = tracker.Proposal(5, kStart);
  cr_assert(registry.has_value());
  cr_assert_eq(registry->revision,
               Revision(5 * RegistryTracker::kStepsPerRevision));
  cr_assert_eq(registry->targets.size(), 1U);
}

// Guards against a new registry for each heartbeat of each target.
Test(registry_tracker, proposes_nothing_without_a_change_of_meaning) {
  auto tracker = SettledTracker({Target("a")});
  tracker.OnChanged(Target("a"), kStart);
  cr_assert_not(tracker.Proposal(11, kStart).has_value());
}

// Guards against work for a target that left while the store answers.
Test(registry_tracker, drops_a_removed_target_at_once_when_settled) {
  auto tracker = SettledTracker({Target("a"), Target("b")});
  tracker.OnRemoved(TargetId("a"), kStart);
  const auto registry = tracker.Proposal(11, kStart);
  cr_assert(registry.has_value());
  cr_assert_eq(registry->targets.size(), 1U);
  cr_assert_eq(registry->targets.front().id, TargetId("b"));
}

// Guards against the loss of all targets when the store was away and their
// entries lapsed.
Test(registry_tracker, keeps_lapsed_targets_until_they_had_time_to_return) {
  auto tracker = SettledTracker({Target("a"), Target("b")});
  tracker.OnFailed();
  const auto back = kStart + milliseconds(4000);
  tracker.OnListed({Target("a")}, back);
  const auto soon = back + milliseconds(2000);
  tracker.OnAnswered(soon);
  cr_assert_not(tracker.Proposal(12, soon).has_value());
  const auto settled = back + milliseconds(2400);
  tracker.OnAnswered(settled);
  const auto registry = tracker.Proposal(13, settled);
  cr_assert(registry.has_value());
  cr_assert_eq(registry->targets.size(), 1U);
}

// Guards against new work for a target that left: vdm-eendhok scale-2, a reader
// that had been cut off brought back what the others had found gone.
Test(registry_tracker, brings_back_no_target_that_others_found_gone) {
  auto tracker = SettledTracker({Target("a"), Target("b")});
  tracker.OnFailed();
  const auto back = kStart + milliseconds(9000);
  tracker.OnListed({Target("b"), Target("c")}, back);
  cr_assert_not(tracker.Proposal(20, back).has_value(),
                "peers were not heard yet");
  tracker.OnInForce(InForce(19, {Target("b")}));
  const auto heard = back + milliseconds(1300);
  tracker.OnAnswered(heard);
  const auto registry = tracker.Proposal(21, heard);
  cr_assert(registry.has_value());
  cr_assert_eq(registry->targets.size(), 2U);
  cr_assert_eq(registry->targets.front().id, TargetId("b"));
  cr_assert_eq(registry->targets.back().id, TargetId("c"));
}

// Guards against work for a target that left: vdm-eendhok scale-2, where the
// entry went just after this vm became a reader, and nothing else changed in
// the store after that.
Test(registry_tracker, a_new_reader_trusts_a_store_that_was_well) {
  RegistryTracker tracker;
  tracker.OnInForce(InForce(38, {Target("a"), Target("b")}));
  tracker.OnStarted(true, kStart);
  tracker.OnListed({Target("a"), Target("b")}, kStart);
  tracker.OnRemoved(TargetId("a"), kStart + milliseconds(300));
  cr_assert(tracker.Proposal(39, kStart + milliseconds(300)).has_value());
}

// Guards against an entry that is held for ever since the store's revision
// stands still.
Test(registry_tracker, drops_a_held_entry_without_a_change_in_the_store) {
  RegistryTracker tracker;
  tracker.OnInForce(InForce(38, {Target("a"), Target("b")}));
  tracker.OnStarted(false, kStart);
  tracker.OnListed({Target("b")}, kStart);
  const auto settled = kStart + milliseconds(2400);
  tracker.OnAnswered(settled);
  const auto registry = tracker.Proposal(38, settled);
  cr_assert(registry.has_value());
  cr_assert_eq(registry->targets.size(), 1U);
  cr_assert(InForce(38, {})->revision < registry->revision);
  // A reader that is behind the fleet has nothing to say.
  tracker.OnInForce(InForce(40, {Target("b"), Target("c")}));
  cr_assert_not(tracker.Proposal(39, settled).has_value());
}

}  // namespace flamingoyoke
