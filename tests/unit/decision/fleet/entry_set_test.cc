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

// A fleet of one strong vm in sixteen, as the grown sites have.
auto MixedMembers(std::size_t count) -> std::vector<Member> {
  auto members = Members(count);
  for (std::size_t i = 0; i < count; ++i) {
    members[i].capacity = i % 16 < 4 && i / 16 % 4 == 0
                              ? VmResources{500, 200'000}
                              : VmResources{100, 10'000};
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

// Guards against overloaded entries that answer, apply changes and let targets
// go too late: the incident of issue 13.
Test(entry_set, entries_have_what_the_load_takes) {
  auto members = MixedMembers(128);
  const auto before = EntryVms(members, 3);
  for (const auto& vm : before) {
    Find(members, vm).load = {500, 30'000};
  }
  std::uint32_t processor_millicores = 0;
  std::uint32_t link_kbps = 0;
  for (const auto& vm : EntryVms(members, 3)) {
    processor_millicores += Find(members, vm).capacity.processor_millicores;
    link_kbps += Find(members, vm).capacity.link_kbps;
  }
  cr_assert_geq(processor_millicores, 3U * 500);
  cr_assert_geq(link_kbps, 3U * 30'000);
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
