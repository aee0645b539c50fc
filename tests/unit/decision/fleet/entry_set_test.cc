#include "decision/fleet/entry_set.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>

namespace flamingoyoke {
namespace {

auto Members(std::size_t count) -> std::vector<Member> {
  std::vector<Member> members;
  for (std::size_t i = 0; i < count; ++i) {
    Member member;
    member.id = VmId("10.0.0." + std::to_string(i));
    member.failure_domain = FailureDomainId(std::to_string(i % 4));
    member.liveness = Liveness::kAlive;
    member.ready = true;
    members.push_back(member);
  }
  return members;
}

auto Find(std::vector<Member>& members, const VmId& id) -> Member& {
  return *std::find_if(members.begin(), members.end(),
                       [&](const Member& each) { return each.id == id; });
}

}  // namespace

// Guards against entries that all go with one failure domain.
Test(entry_set, spreads_over_failure_domains) {
  auto members = Members(32);
  std::set<FailureDomainId> domains;
  for (const auto& vm : EntryVms(members, 4)) {
    domains.insert(Find(members, vm).failure_domain);
  }
  cr_assert_eq(domains.size(), 4U);
}

// Guards against callers that are sent to a vm that leaves or died, and against
// a change that moves more callers than it has to.
Test(entry_set, replaces_only_the_vm_that_went) {
  auto members = Members(32);
  const auto before = EntryVms(members, 3);
  Find(members, before[1]).leaving = true;
  const auto after = EntryVms(members, 3);
  cr_assert_eq(after.size(), 3U);
  cr_assert_eq(std::count(after.begin(), after.end(), before[1]), 0);
  cr_assert_eq(std::count(after.begin(), after.end(), before[0]), 1);
  cr_assert_eq(std::count(after.begin(), after.end(), before[2]), 1);
}

// Guards against a fleet that reads nothing since no vm is ready yet.
Test(entry_set, readers_need_not_be_ready) {
  auto members = Members(8);
  const auto entries = EntryVms(members, 3);
  for (auto& member : members) {
    member.ready = false;
  }
  cr_assert(EntryVms(members, 3).empty());
  cr_assert(ReaderVms(members, 3) == entries);
}

// Guards against a configuration that stays unseen while the store turns just
// the readers away: the recorded incident inc-0ecc of jutagatt.
Test(entry_set, others_read_for_vms_that_lost_the_store) {
  auto members = Members(8);
  const auto before = ReaderVms(members, 3);
  for (const auto& vm : before) {
    Find(members, vm).lost_source = true;
  }
  const auto after = ReaderVms(members, 3);
  cr_assert_eq(after.size(), 3U);
  for (const auto& vm : after) {
    cr_assert_eq(std::count(before.begin(), before.end(), vm), 0);
  }
  // If all lost it, the first go on trying.
  for (auto& member : members) {
    member.lost_source = true;
  }
  cr_assert(ReaderVms(members, 3) == before);
}

}  // namespace flamingoyoke
