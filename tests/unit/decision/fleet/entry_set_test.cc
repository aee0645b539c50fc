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

constexpr TimePoint kStart = TimePoint(std::chrono::seconds(100));

// Returns the entries of a fleet that was idle until now.
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
  cr_assert_eq(after.size(), before.size());
  for (const auto& vm : before) {
    cr_assert_eq(std::count(after.begin(), after.end(), vm),
                 vm == before[1] ? 0 : 1);
  }
}

// Guards against overloaded entries that answer, apply changes and let targets
// go too late: the incident of issue 13.
Test(entry_set, entries_have_what_the_load_takes) {
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

// Guards against entries whose links are too small for the bodies, though their
// processors are not.
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

// Guards against evidence that is spread over more vms than the load needs.
Test(entry_set, begins_with_the_strongest_vms) {
  auto members = MixedMembers(128);
  for (const auto& vm : EntryVms(members, 3)) {
    cr_assert_eq(Find(members, vm).capacity.processor_millicores, 500U);
  }
}

// Guards against a fleet whose callers come at once and find three vms.
Test(entry_set, an_idle_fleet_has_part_of_its_capacity_as_entries) {
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

// Guards against callers of lost entries that come back to entries too few.
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

// Guards against weak vms that get as many callers as strong ones, and against
// callers that are told other vms each time they ask.
Test(entry_set, callers_are_told_entries_by_weight) {
  const std::vector<EntryVm> entries = {{VmId("strong-1"), 500},
                                        {VmId("strong-2"), 500},
                                        {VmId("weak-1"), 100},
                                        {VmId("weak-2"), 100}};
  std::map<VmId, int> told;
  constexpr int kCallers = 4000;
  for (int i = 0; i < kCallers; ++i) {
    const auto caller = "10.9.0." + std::to_string(i);
    const auto vms = EntriesForCaller(entries, caller, 1);
    cr_assert_eq(vms.size(), 1U);
    cr_assert(EntriesForCaller(entries, caller, 1) == vms);
    ++told[vms.front()];
  }
  for (const auto& entry : entries) {
    const auto share = entry.weight / 1200.0;
    cr_assert_float_eq(told[entry.vm] / static_cast<double>(kCallers), share,
                       0.03, "%s", entry.vm.value().c_str());
  }
}

// Guards against a new entry that moves callers of all others.
Test(entry_set, a_new_entry_takes_callers_only_to_itself) {
  std::vector<EntryVm> entries(8);
  for (std::size_t i = 0; i < entries.size(); ++i) {
    entries[i] = {VmId("vm-" + std::to_string(i)), 100};
  }
  auto more = entries;
  more.push_back({VmId("vm-new"), 100});
  for (int i = 0; i < 200; ++i) {
    const auto caller = "10.9.0." + std::to_string(i);
    const auto before = EntriesForCaller(entries, caller, 4);
    for (const auto& vm : EntriesForCaller(more, caller, 4)) {
      cr_assert(vm.value() == "vm-new" ||
                std::count(before.begin(), before.end(), vm) == 1);
    }
  }
}

// Guards against a fleet that reads nothing since no vm is ready yet.
Test(entry_set, readers_need_not_be_ready) {
  auto members = Members(8);
  const auto entries = EntryVms(members, 3);
  cr_assert_eq(entries.size(), 3U);
  for (auto& member : members) {
    member.ready = false;
  }
  cr_assert(EntryVms(members, 3).empty());
  cr_assert(ReaderVms(members, 3) == entries);
}

// Guards against changes and leavings that nobody notices for seconds since all
// readers were lost at once and are not held for dead yet.
Test(entry_set, others_read_for_vms_that_fell_silent) {
  const auto members = Members(8);
  const auto before = ReaderVms(members, 3);
  const std::set<VmId> silent(before.begin(), before.end());
  const auto after = ReaderVms(members, 3, silent);
  cr_assert_eq(after.size(), 3U);
  for (const auto& vm : after) {
    cr_assert_not(silent.contains(vm));
  }
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
