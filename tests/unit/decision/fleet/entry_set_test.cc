#include "decision/fleet/entry_set.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
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

// A fleet with one strong VM in sixteen, as in large sites.
auto MixedMembers(std::size_t count) -> std::vector<Member> {
  auto members = Members(count);
  for (std::size_t i = 0; i < count; ++i) {
    members[i].capacity = i % 16 < 4 && i / 16 % 4 == 0
                              ? VmResources{500, 200'000}
                              : VmResources{100, 10'000};
  }
  return members;
}

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));

// Returns the entries of a fleet that has been idle so far.
auto EntryVms(const std::vector<Member>& members, std::size_t least)
    -> std::vector<VmId> {
  EntrySet entries(least);
  std::vector<VmId> vms;
  for (const auto& entry : entries.Update(members, kStart)) {
    vms.push_back(entry.vm);
  }
  return vms;
}

auto Find(std::vector<Member>& members, const VmId& id) -> Member& {
  return *std::find_if(members.begin(), members.end(),
                       [&](const Member& each) { return each.id == id; });
}

}  // namespace

// Guards against losing all entries with one failure domain.
Test(entry_set, spreads_over_failure_domains) {
  auto members = Members(32);
  std::set<FailureDomainId> domains;
  for (const auto& vm : EntryVms(members, 4)) {
    domains.insert(Find(members, vm).failure_domain);
  }
  cr_assert_eq(domains.size(), 4U);
}

// Guards against entries that are leaving or dead, and against a change that
// moves more callers than necessary.
Test(entry_set, replaces_only_the_removed_vm) {
  auto members = Members(32);
  const auto before = EntryVms(members, 3);
  Find(members, before[1]).leaving = true;
  const auto after = EntryVms(members, 3);
  cr_assert_eq(after.size(), before.size());
  for (const auto& vm : before) {
    cr_assert_eq(std::count(after.begin(), after.end(), vm),
                 vm == before[1] ? 0 : 1);
  }
}

// Guards against entries too weak for the load, which answer late, apply
// changes late and release targets late. Reproduces the incident of issue 13.
Test(entry_set, entries_have_capacity_for_the_load) {
  auto members = MixedMembers(128);
  const auto before = EntryVms(members, 3);
  for (const auto& vm : before) {
    Find(members, vm).load = {500, 30'000};
  }
  const auto load = static_cast<std::uint32_t>(before.size());
  std::uint32_t processor_millicores = 0;
  std::uint32_t link_kbps = 0;
  for (const auto& vm : EntryVms(members, 3)) {
    processor_millicores += Find(members, vm).capacity.processor_millicores;
    link_kbps += Find(members, vm).capacity.link_kbps;
  }
  cr_assert_geq(processor_millicores * EntrySet::kTargetUtilization,
                load * 500);
  cr_assert_geq(link_kbps * EntrySet::kTargetUtilization, load * 30'000);
}

// Guards against entries whose processors are sufficient for the load but whose
// links are not.
Test(entry_set, counts_the_link_as_well_as_the_processor) {
  auto members = Members(64);
  for (auto& member : members) {
    member.capacity = {1000, 10'000};
  }
  members.front().load = {100, 60'000};
  const auto entries = EntryVms(members, 3);
  cr_assert_geq(entries.size(), 12U);
  cr_assert_leq(entries.size(), 24U);
}

// Guards against spreading failure evidence over more VMs than the load needs.
Test(entry_set, begins_with_the_strongest_vms) {
  auto members = MixedMembers(128);
  for (const auto& vm : EntryVms(members, 3)) {
    cr_assert_eq(Find(members, vm).capacity.processor_millicores, 500U);
  }
}

// Guards against a burst of callers that finds only three entries in an idle
// fleet.
Test(entry_set, idle_fleet_keeps_a_minimum_entry_capacity) {
  auto members = MixedMembers(128);
  std::uint32_t fleet = 0;
  for (const auto& member : members) {
    fleet += member.capacity.processor_millicores;
  }
  std::uint32_t entries = 0;
  for (const auto& vm : EntryVms(members, 3)) {
    entries += Find(members, vm).capacity.processor_millicores;
  }
  cr_assert_geq(entries, fleet * EntrySet::kMinFleetCapacityShare);
  cr_assert_leq(entries, fleet / 4);
}

// Guards against shrinking the set while entries fail: their callers come back
// to the remaining ones.
Test(entry_set, keeps_its_size_while_entries_are_lost) {
  auto members = MixedMembers(128);
  EntrySet set(3);
  std::uint32_t load = 0;
  for (const auto& entry : set.Update(members, kStart)) {
    Find(members, entry.vm).load = {400, 20'000};
    load += 400;
  }
  for (const auto& entry : set.Update(members, kStart)) {
    Find(members, entry.vm).liveness = Liveness::kDead;
  }
  const auto weight_at = [&](TimePoint now) {
    std::uint32_t weight = 0;
    for (const auto& entry : set.Update(members, now)) {
      weight += entry.weight;
    }
    return weight;
  };
  const auto soon = kStart + std::chrono::seconds(2);
  cr_assert_geq(weight_at(soon) * EntrySet::kTargetUtilization, load);
  cr_assert_lt(
      weight_at(kStart + EntrySet::kPeakWindow) * EntrySet::kTargetUtilization,
      load);
}

// Guards against weak VMs that get as many callers as strong ones, and against
// a different result for each request of a caller.
Test(entry_set, distributes_callers_by_weight) {
  const std::vector<EntryVm> entries = {{VmId("strong-1"), 500},
                                        {VmId("strong-2"), 500},
                                        {VmId("weak-1"), 100},
                                        {VmId("weak-2"), 100}};
  std::map<VmId, int> callers_of;
  constexpr int kCallers = 4000;
  for (int i = 0; i < kCallers; ++i) {
    const auto caller = "10.9.0." + std::to_string(i);
    const auto vms = EntriesForCaller(entries, caller, 1);
    cr_assert_eq(vms.size(), 1U);
    cr_assert(EntriesForCaller(entries, caller, 1) == vms);
    ++callers_of[vms.front()];
  }
  for (const auto& entry : entries) {
    const auto share = entry.weight / 1200.0;
    cr_assert_float_eq(callers_of[entry.vm] / static_cast<double>(kCallers),
                       share, 0.03, "%s", entry.vm.value().c_str());
  }
}

// Guards against a new entry that moves callers between the other entries.
Test(entry_set, a_new_entry_moves_no_callers_between_others) {
  std::vector<EntryVm> entries(8);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    entries[i] = {VmId("vm-" + std::to_string(i)), 100};
  }
  auto grown = entries;
  grown.push_back({VmId("vm-new"), 100});
  for (int i = 0; i < 200; ++i) {
    const auto caller = "10.9.0." + std::to_string(i);
    const auto before = EntriesForCaller(entries, caller, 4);
    for (const auto& vm : EntriesForCaller(grown, caller, 4)) {
      cr_assert(vm.value() == "vm-new" ||
                std::count(before.begin(), before.end(), vm) == 1);
    }
  }
}

// Guards against a fleet without readers because no VM is ready yet.
Test(entry_set, selects_readers_before_any_vm_is_ready) {
  auto members = Members(8);
  const auto entries = EntryVms(members, 3);
  cr_assert_eq(entries.size(), 3U);
  for (auto& member : members) {
    member.ready = false;
  }
  cr_assert(EntryVms(members, 3).empty());
  cr_assert(ReaderVms(members, 3) == entries);
}

// Guards against changes and departures that go unnoticed for seconds because
// all readers failed at once and have not been declared dead yet.
Test(entry_set, replaces_silent_readers) {
  const auto members = Members(8);
  const auto before = ReaderVms(members, 3);
  const std::set<VmId> silent(before.begin(), before.end());
  const auto after = ReaderVms(members, 3, silent);
  cr_assert_eq(after.size(), 3U);
  for (const auto& vm : after) {
    cr_assert_not(silent.contains(vm));
  }
}

// Guards against a change of the configuration that goes unnoticed while the
// store rejects only the readers. Reproduces incident inc-0ecc of jutagatt.
Test(entry_set, replaces_readers_that_lost_the_store) {
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
  // If all VMs lost it, the first ones keep trying.
  for (auto& member : members) {
    member.lost_source = true;
  }
  cr_assert(ReaderVms(members, 3) == before);
}

// Guards against taking the store for lost to all VMs while one can read it,
// because too few others are left and the readers include VMs that lost it.
Test(entry_set, one_vm_that_can_read_is_enough) {
  auto members = Members(3);
  for (auto& member : members) {
    member.lost_source = true;
  }
  cr_assert_not(AnyCanRead(members, {}));
  members[1].lost_source = false;
  cr_assert_eq(ReaderVms(members, 3).size(), 3U);
  cr_assert(AnyCanRead(members, {}));
  cr_assert_not(AnyCanRead(members, {members[1].id}));
  members[1].leaving = true;
  cr_assert_not(AnyCanRead(members, {}));
}

}  // namespace flamingoyoke
