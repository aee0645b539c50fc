#include "decision/fleet/member_list.h"

#include <set>
#include <tuple>
#include <utility>

#include "core/random.h"
#include "decision/fleet/membership_timing.h"
#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

// Digests are sums over members, so they can be updated incrementally.
auto DigestOf(std::uint64_t hash, const Member& member) -> std::uint64_t {
  const auto state = Random(hash ^ member.incarnation.value()).Next();
  return Random(state + member.version).Next();
}

auto IsUnconfirmed(const MemberRecord& record) -> bool {
  return HasBeenHeard(record) && record.member.liveness == Liveness::kUnproven;
}

auto IsOlder(const Member& a, const Member& b) -> bool {
  return std::tie(a.incarnation, a.version) <
         std::tie(b.incarnation, b.version);
}

}  // namespace

auto MemberList::Seed(const std::vector<Member>& listed, TimePoint now)
    -> void {
  std::set<VmId> ids;
  for (const auto& member : listed) {
    if (member.id.empty() || member.id == self_) {
      continue;
    }
    ids.insert(member.id);
    const auto found = records_.find(member.id);
    if (found == records_.end()) {
      auto unproven = member;
      unproven.incarnation = Incarnation();
      unproven.version = 0;
      unproven.liveness = Liveness::kUnproven;
      unproven.ready = false;
      Add(unproven, now);
      continue;
    }
    auto& record = found->second;
    // A present VM announces its own state; the list may be older.
    if (!IsPresent(record)) {
      auto updated = record.member;
      updated.failure_domain = member.failure_domain;
      updated.region = member.region;
      updated.address = member.address;
      updated.mesh_address = member.mesh_address;
      updated.leaving = member.leaving;
      Assign(record, updated, record.liveness_changed);
    }
  }
  for (auto it = records_.begin(); it != records_.end();) {
    const bool is_listed = ids.count(it->first) > 0;
    it = is_listed || HasBeenHeard(it->second) ? std::next(it) : Erase(it);
  }
}

auto MemberList::Merge(const Member& report, TimePoint now, VmId& replaced)
    -> MergeResult {
  if (report.id.empty() || report.id == self_ ||
      report.incarnation == Incarnation() ||
      report.liveness == Liveness::kUnproven) {
    return MergeResult::kStale;
  }
  const auto found = records_.find(report.id);
  const bool is_death = report.liveness != Liveness::kAlive;
  if (found == records_.end()) {
    if (is_death) {
      return MergeResult::kStale;
    }
    Add(report, now);
    replaced = ReplaceAtAddress(report, now);
    return MergeResult::kUpdated;
  }
  auto& record = found->second;
  if (IsOlder(report, record.member)) {
    return MergeResult::kStale;
  }
  if (!IsOlder(record.member, report)) {
    return MergeSameVersion(record, report, now);
  }
  auto updated = report;
  record.refutation_deadline.reset();
  if (report.liveness == Liveness::kSuspect) {
    updated.liveness = Liveness::kAlive;
    AwaitRefutation(record, now);
  }
  Assign(record, updated, now);
  if (!is_death) {
    replaced = ReplaceAtAddress(updated, now);
  }
  return MergeResult::kUpdated;
}

auto MemberList::MergeSameVersion(MemberRecord& record,
                                  const Member& report,
                                  TimePoint now) -> MergeResult {
  if (record.member.liveness == Liveness::kDead) {
    return report.liveness == Liveness::kAlive ? MergeResult::kStale
                                               : MergeResult::kUnchanged;
  }
  if (report.liveness == Liveness::kDead) {
    SetLiveness(report.id, Liveness::kDead, now);
    return MergeResult::kUpdated;
  }
  if (report.liveness == Liveness::kSuspect) {
    if (record.refutation_deadline) {
      return MergeResult::kUnchanged;
    }
    AwaitRefutation(record, now);
    return MergeResult::kUpdated;
  }
  if (record.member.liveness == Liveness::kUnproven) {
    SetLiveness(report.id, Liveness::kAlive, now);
    return MergeResult::kConfirmed;
  }
  return MergeResult::kUnchanged;
}

auto MemberList::AwaitRefutation(MemberRecord& record, TimePoint now) -> void {
  record.refutation_deadline = now + kRefutationTimeout;
  awaiting_refutation_.insert(record.member.id);
}

auto MemberList::RecordMessage(const VmId& vm,
                               Incarnation incarnation,
                               TimePoint now) -> MergeResult {
  const auto found = records_.find(vm);
  if (found == records_.end()) {
    return MergeResult::kStale;
  }
  auto& record = found->second;
  if (incarnation < record.member.incarnation) {
    return MergeResult::kStale;
  }
  if (record.member.incarnation < incarnation) {
    auto updated = record.member;
    updated.incarnation = incarnation;
    updated.version = 0;
    updated.liveness = Liveness::kAlive;
    updated.ready = false;
    updated.leaving = false;
    record.refutation_deadline.reset();
    Assign(record, updated, now);
    return MergeResult::kUpdated;
  }
  if (record.member.liveness == Liveness::kDead) {
    return MergeResult::kStale;
  }
  if (record.member.liveness == Liveness::kUnproven) {
    SetLiveness(vm, Liveness::kAlive, now);
    return MergeResult::kConfirmed;
  }
  return MergeResult::kUnchanged;
}

auto MemberList::SetLiveness(const VmId& vm, Liveness liveness, TimePoint now)
    -> void {
  const auto found = records_.find(vm);
  if (found == records_.end() || found->second.member.liveness == liveness) {
    return;
  }
  auto updated = found->second.member;
  updated.liveness = liveness;
  if (liveness == Liveness::kDead) {
    found->second.refutation_deadline.reset();
  }
  Assign(found->second, updated, now);
}

auto MemberList::SetLeaving(const VmId& vm) -> void {
  const auto found = records_.find(vm);
  if (found != records_.end() && !found->second.member.leaving) {
    found->second.member.leaving = true;
    ++changes_;
  }
}

auto MemberList::ExpireRefutations(TimePoint now) -> void {
  for (auto it = awaiting_refutation_.begin();
       it != awaiting_refutation_.end();) {
    const auto* record = Find(*it);
    const bool is_open = record != nullptr && record->refutation_deadline;
    if (is_open && now < *record->refutation_deadline) {
      ++it;
      continue;
    }
    const auto vm = *it;
    it = awaiting_refutation_.erase(it);
    if (is_open) {
      SetLiveness(vm, Liveness::kDead, now);
    }
  }
}

auto MemberList::RemoveExpired(TimePoint now) -> void {
  for (auto it = records_.begin(); it != records_.end();) {
    const auto& record = it->second;
    const bool is_gone =
        record.member.liveness == Liveness::kDead || !HasBeenHeard(record);
    const bool ended =
        is_gone && now - record.liveness_changed >= kTombstoneLifetime;
    it = ended ? Erase(it) : std::next(it);
  }
}

auto MemberList::MarkAllUnconfirmed(TimePoint now) -> void {
  for (auto& [vm, record] : records_) {
    record.refutation_deadline.reset();
    if (record.member.liveness != Liveness::kDead) {
      SetLiveness(vm, Liveness::kUnproven, now);
    }
  }
}

auto MemberList::ConfirmAll(TimePoint now) -> void {
  for (auto& [vm, record] : records_) {
    if (IsUnconfirmed(record)) {
      SetLiveness(vm, Liveness::kAlive, now);
    }
  }
}

auto MemberList::Find(const VmId& vm) const -> const MemberRecord* {
  const auto found = records_.find(vm);
  return found == records_.end() ? nullptr : &found->second;
}

auto MemberList::MembersWith(const Member& self) const -> std::vector<Member> {
  std::vector<Member> members;
  members.reserve(records_.size() + 1);
  bool self_is_listed = false;
  for (const auto& [vm, record] : records_) {
    if (!self_is_listed && self.id < vm) {
      members.push_back(self);
      self_is_listed = true;
    }
    members.push_back(record.member);
  }
  if (!self_is_listed) {
    members.push_back(self);
  }
  return members;
}

auto MemberList::BucketDigests(const Member& self) const
    -> std::vector<std::uint64_t> {
  std::vector<std::uint64_t> digests(digests_.begin(), digests_.end());
  const auto hash = HashOf(self.id.value());
  digests[BucketOf(hash)] += DigestOf(hash, self);
  return digests;
}

auto MemberList::Digest(const Member& self) const -> std::uint64_t {
  std::uint64_t digest = 0;
  for (const auto bucket : BucketDigests(self)) {
    digest += bucket;
  }
  return digest;
}

auto MemberList::BucketOf(std::uint64_t hash) -> std::size_t {
  return hash % kBuckets;
}

auto MemberList::Assign(MemberRecord& record,
                        const Member& member,
                        TimePoint now) -> void {
  const bool was_present = IsPresent(record);
  const bool was_unconfirmed = IsUnconfirmed(record);
  const bool was_dead = record.member.liveness == Liveness::kDead;
  if (was_present) {
    digests_[BucketOf(record.hash)] -= DigestOf(record.hash, record.member);
  }
  if (record.member.liveness != member.liveness) {
    record.liveness_changed = now;
  }
  // Peer selection depends on presence, addresses and failure domains.
  const bool moved = record.member.mesh_address != member.mesh_address ||
                     record.member.failure_domain != member.failure_domain ||
                     record.member.region != member.region;
  record.member = member;
  const bool is_present = IsPresent(record);
  if (is_present) {
    AddToDigest(record);
  }
  dead_ += member.liveness == Liveness::kDead ? 1 : 0;
  dead_ -= was_dead ? 1 : 0;
  unconfirmed_ += IsUnconfirmed(record) ? 1 : 0;
  unconfirmed_ -= was_unconfirmed ? 1 : 0;
  present_ += is_present ? 1 : 0;
  present_ -= was_present ? 1 : 0;
  presence_changes_ += is_present != was_present || moved ? 1 : 0;
  ++changes_;
}

auto MemberList::AddToDigest(const MemberRecord& record) -> void {
  digests_[BucketOf(record.hash)] += DigestOf(record.hash, record.member);
}

auto MemberList::ReplaceAtAddress(const Member& member, TimePoint now) -> VmId {
  auto& holder = by_address_[member.mesh_address];
  auto earlier = std::exchange(holder, member.id);
  if (earlier.empty() || earlier == member.id) {
    return {};
  }
  const auto* record = Find(earlier);
  if (record == nullptr || record->member.mesh_address != member.mesh_address) {
    return {};
  }
  if (member.incarnation < record->member.incarnation) {
    // The report is about the process that was replaced already.
    holder = earlier;
    return {};
  }
  if (!IsPresent(*record)) {
    return {};
  }
  SetLiveness(earlier, Liveness::kDead, now);
  return earlier;
}

auto MemberList::Add(const Member& member, TimePoint now) -> MemberRecord& {
  auto& record = records_[member.id];
  record.hash = HashOf(member.id.value());
  record.liveness_changed = now;
  auto added = member;
  if (added.liveness == Liveness::kSuspect) {
    added.liveness = Liveness::kAlive;
  }
  Assign(record, added, now);
  return record;
}

auto MemberList::Erase(Records::iterator position) -> Records::iterator {
  // Removes the record from all counters except that of dead VMs.
  SetLiveness(position->first, Liveness::kDead,
              position->second.liveness_changed);
  --dead_;
  const auto holder = by_address_.find(position->second.member.mesh_address);
  if (holder != by_address_.end() && holder->second == position->first) {
    by_address_.erase(holder);
  }
  ++changes_;
  return records_.erase(position);
}

}  // namespace flamingoyoke
