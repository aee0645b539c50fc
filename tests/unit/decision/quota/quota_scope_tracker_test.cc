#include "decision/quota/quota_scope_tracker.h"

#include <criterion/criterion.h>

#include <chrono>
#include <set>
#include <string>

#include "decision/quota/quota_timing.h"

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

// Returns a view of ten VMs in which `entries` are the entries and `dead` are
// dead.
auto MakeView(const std::set<int>& entries, const std::set<int>& dead)
    -> FleetView {
  FleetView view;
  view.self = VmId("vm-0");
  for (int i = 0; i < 10; ++i) {
    Member member;
    member.id = VmId("vm-" + std::to_string(i));
    member.liveness = dead.contains(i) ? Liveness::kDead : Liveness::kAlive;
    view.members.push_back(member);
  }
  for (const auto entry : entries) {
    view.entries.push_back({VmId("vm-" + std::to_string(entry))});
  }
  return view;
}

// Failure: a cut, after which this side replaces the entries that it lost.
// Guards against a side that takes over the whole limit, and against a part
// that stays lost after the cut has healed or the memory has ended.
Test(quota_scope_tracker, lost_entries_keep_their_part) {
  QuotaScopeTracker tracker;
  cr_assert_float_eq(tracker.Update(MakeView({0, 1, 2, 3}, {}), kNow).share, 1,
                     1e-9);
  const auto cut = MakeView({0, 1, 4, 5}, {2, 3});
  const auto scope = tracker.Update(cut, kNow);
  cr_assert_float_eq(scope.share, 0.5, 1e-9);
  cr_assert_eq(scope.gateways, 4U);
  cr_assert_float_eq(tracker.Update(MakeView({0, 1, 2}, {3}), kNow).share, 0.75,
                     1e-9);
  cr_assert_float_eq(tracker.Update(MakeView({0, 1, 2, 3}, {}), kNow).share, 1,
                     1e-9);
  tracker.Update(cut, kNow);
  cr_assert_float_eq(tracker.Update(cut, kNow + kLostEntryMemory).share, 1,
                     1e-9);
}

// Failure: all VMs start at once, or one starts alone. Guards against limits
// that are withheld for leases which no process can have, and against a new
// keeper that ignores the leases of older processes.
Test(quota_scope_tracker, only_processes_that_started_together_hold_no_lease) {
  auto view = MakeView({0, 1, 2, 3}, {});
  view.incarnation = Incarnation(100'000);
  for (auto& member : view.members) {
    member.incarnation = Incarnation(98'000 + member.id.value().back() * 40U);
  }
  QuotaScopeTracker tracker;
  cr_assert(tracker.Update(view, kNow).has_started_together);
  cr_assert(!tracker.Update(view, kNow + kStartTime * 2).has_started_together);
  view.members[2].incarnation = Incarnation(94'000);
  QuotaScopeTracker alone;
  cr_assert(!alone.Update(view, kNow).has_started_together);
}

// Guards against a part that is lost when a smaller load needs fewer entries.
Test(quota_scope_tracker, entries_that_stand_down_leave_their_part) {
  QuotaScopeTracker tracker;
  tracker.Update(MakeView({0, 1, 2, 3}, {}), kNow);
  cr_assert_float_eq(tracker.Update(MakeView({0, 1}, {}), kNow).share, 1, 1e-9);
}

}  // namespace
}  // namespace flamingoyoke
