#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBER_LIST_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBER_LIST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_record.h"

namespace flamingoyoke {

// Result of merging a report about a member into the list.
enum class MergeResult {
  kStale,      // Older than the known state, or not usable.
  kUnchanged,  // Already known.
  kConfirmed,  // Already known, but unconfirmed since a pause.
  kUpdated,    // Applied; to be passed on to other nodes.
};

template <>
struct EnumNames<MergeResult> {
  static constexpr auto kTable = std::to_array<NameEntry<MergeResult>>({
      {MergeResult::kStale, "old"},
      {MergeResult::kUnchanged, "same"},
      {MergeResult::kConfirmed, "confirmed"},
      {MergeResult::kUpdated, "news"},
  });
};
static_assert(IsDense<MergeResult>());

// The other VMs of the fleet, the rules for merging reports about them, and
// digests for comparing lists. Reports are ordered by incarnation, then
// version; among equal ones, a report of death wins. A report with liveness
// kSuspect is a report of death that the VM may still refute. Not thread-safe.
class MemberList {
 public:
  // Number of digest buckets. With 7,100 members, a difference in one member
  // costs sending the about 110 members of its bucket.
  static constexpr std::size_t kBuckets = 64;
  using Records = std::map<VmId, MemberRecord>;

  explicit MemberList(VmId self) : self_(std::move(self)) {}

  // Merges the platform's list: adds unknown VMs as unproven and removes those
  // that were only known from an earlier list.
  auto Seed(const std::vector<Member>& listed, TimePoint now) -> void;

  // Merges a report about a VM other than this one. A new VM at the mesh
  // address of an older process replaces it; `replaced` is set to the id of the
  // older one.
  auto Merge(const Member& report, TimePoint now, VmId& replaced)
      -> MergeResult;

  // Records a message from `vm` with `incarnation`, which shows that it is
  // alive. Returns kStale if the VM is unknown, if the process was replaced, or
  // if the VM has to refute a report of its death first.
  auto RecordMessage(const VmId& vm, Incarnation incarnation, TimePoint now)
      -> MergeResult;

  // Sets the liveness of a VM. Does nothing for an unknown VM.
  auto SetLiveness(const VmId& vm, Liveness liveness, TimePoint now) -> void;

  // Marks a VM as leaving. Does nothing for an unknown VM.
  auto SetLeaving(const VmId& vm) -> void;

  // Marks VMs as dead whose refutation deadline has passed.
  auto ExpireRefutations(TimePoint now) -> void;

  // Removes VMs that have been dead or never heard from for kTombstoneLifetime.
  // The platform's next list may add them again.
  auto RemoveExpired(TimePoint now) -> void;

  // Marks all VMs that are not dead as unproven until they are confirmed.
  auto MarkAllUnconfirmed(TimePoint now) -> void;

  // Marks all unconfirmed VMs as alive; called when a peer has the same list.
  auto ConfirmAll(TimePoint now) -> void;

  [[nodiscard]] auto Find(const VmId& vm) const -> const MemberRecord*;
  [[nodiscard]] auto records() const -> const Records& { return records_; }
  // Returns the members of all records and `self`, ordered by id.
  [[nodiscard]] auto MembersWith(const Member& self) const
      -> std::vector<Member>;

  // Returns the digests of the present VMs and `self` by bucket, and the digest
  // of all of them.
  [[nodiscard]] auto BucketDigests(const Member& self) const
      -> std::vector<std::uint64_t>;
  [[nodiscard]] auto Digest(const Member& self) const -> std::uint64_t;

  // Returns the bucket of a VM with HashOf(id) `hash`. Thread-safe.
  static auto BucketOf(std::uint64_t hash) -> std::size_t;

  // Number of present VMs, excluding this one.
  [[nodiscard]] auto present_count() const -> std::size_t { return present_; }
  // Number of VMs not known to be dead, excluding this one.
  [[nodiscard]] auto other_count() const -> std::size_t {
    return records_.size() - dead_;
  }
  // Number of VMs that have not been confirmed since the last pause.
  [[nodiscard]] auto unconfirmed_count() const -> std::size_t {
    return unconfirmed_;
  }

  // Number of changes that are visible in a snapshot, and number of changes
  // that affect the selection of peers.
  [[nodiscard]] auto change_count() const -> std::uint64_t { return changes_; }
  [[nodiscard]] auto presence_change_count() const -> std::uint64_t {
    return presence_changes_;
  }

 private:
  // Replaces the member of `record` and updates digests and counters.
  auto Assign(MemberRecord& record, const Member& member, TimePoint now)
      -> void;
  auto AddToDigest(const MemberRecord& record) -> void;
  auto MergeSameVersion(MemberRecord& record,
                        const Member& report,
                        TimePoint now) -> MergeResult;
  auto AwaitRefutation(MemberRecord& record, TimePoint now) -> void;
  auto ReplaceAtAddress(const Member& member, TimePoint now) -> VmId;
  auto Add(const Member& member, TimePoint now) -> MemberRecord&;
  auto Erase(Records::iterator position) -> Records::iterator;

  VmId self_;
  Records records_;
  // VM with the highest incarnation at each mesh address.
  std::unordered_map<std::string, VmId> by_address_;
  std::array<std::uint64_t, kBuckets> digests_ = {};
  // VMs reported dead, including some that have refuted the report since.
  std::set<VmId> awaiting_refutation_;
  std::size_t present_ = 0;
  std::size_t unconfirmed_ = 0;
  std::size_t dead_ = 0;
  std::uint64_t changes_ = 0;
  std::uint64_t presence_changes_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBER_LIST_H_
