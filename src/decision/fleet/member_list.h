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

// How a report about a member compares with what is known.
enum class MergeResult {
  kStale,      // Older than what is known, or of no use.
  kUnchanged,  // Already known.
  kConfirmed,  // Already known, but not believed since a pause.
  kUpdated,    // Taken over; other nodes should hear of it.
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

// The other vms of the fleet with the rules by which reports about them are
// merged, and digests to compare lists. Reports are ordered by incarnation,
// then version; of equal ones, a report of death wins. A report with liveness
// kSuspect is a claim of death that the vm may still refute. Not thread-safe.
class MemberList {
 public:
  // Buckets of the digests: a difference in one of 7,100 members costs about
  // 110 members of its bucket.
  static constexpr std::size_t kBuckets = 64;
  using Records = std::map<VmId, MemberRecord>;

  explicit MemberList(VmId self) : self_(std::move(self)) {}

  // Takes over the platform's list: adds unknown vms as unproven and drops
  // those that were only known from an earlier list.
  auto Seed(const std::vector<Member>& listed, TimePoint now) -> void;

  // Merges a report about a vm other than this one. A new vm at the mesh
  // address of an older process replaces that one; `replaced` gets its id.
  auto Merge(const Member& report, TimePoint now, VmId& replaced)
      -> MergeResult;

  // Notes a message of `vm` with `incarnation`, which proves that it lives.
  // Returns kOld if the process or its vm is unknown or was replaced, or if
  // the vm has to refute a report of death first.
  auto RecordMessage(const VmId& vm, Incarnation incarnation, TimePoint now)
      -> MergeResult;

  // Sets what this node believes. Does nothing for an unknown vm.
  auto SetLiveness(const VmId& vm, Liveness liveness, TimePoint now) -> void;

  // Marks a vm as leaving. Does nothing for an unknown vm.
  auto SetLeaving(const VmId& vm) -> void;

  // Turns claims whose time to refute is over into deaths.
  auto ExpireRefutations(TimePoint now) -> void;

  // Drops vms that were dead or never proven for the life of a tombstone. The
  // platform's next list may bring them back.
  auto RemoveExpired(TimePoint now) -> void;

  // Believes nothing any more until it is confirmed.
  auto MarkAllUnconfirmed(TimePoint now) -> void;

  // Believes again everything that was doubted: a peer has the same list.
  auto ConfirmAll(TimePoint now) -> void;

  [[nodiscard]] auto Find(const VmId& vm) const -> const MemberRecord*;
  [[nodiscard]] auto records() const -> const Records& { return records_; }

  // Returns the digests of the present vms and of `self` by bucket, and the
  // digest of all.
  [[nodiscard]] auto BucketDigests(const Member& self) const
      -> std::vector<std::uint64_t>;
  [[nodiscard]] auto Digest(const Member& self) const -> std::uint64_t;

  // Returns the bucket of a vm by its HashOf(id). Thread-safe.
  static auto BucketOf(std::uint64_t hash) -> std::size_t;

  // Number of vms that are present, without this one.
  [[nodiscard]] auto present_count() const -> std::size_t { return present_; }
  // Number of vms that are not known to be dead, without this one.
  [[nodiscard]] auto other_count() const -> std::size_t {
    return records_.size() - dead_;
  }
  // Number of vms that were doubted and not confirmed since.
  [[nodiscard]] auto unconfirmed_count() const -> std::size_t {
    return unconfirmed_;
  }

  // Counts the changes that a snapshot shows, and those of presence.
  [[nodiscard]] auto change_count() const -> std::uint64_t { return changes_; }
  [[nodiscard]] auto presence_change_count() const -> std::uint64_t {
    return presence_changes_;
  }

 private:
  // Replaces the member of `record` and keeps digests and counters right.
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
  // The vm with the highest incarnation at each mesh address.
  std::unordered_map<std::string, VmId> by_address_;
  std::array<std::uint64_t, kBuckets> digests_ = {};
  // Vms with a claim of death, some of them refuted since.
  std::set<VmId> awaiting_refutation_;
  std::size_t present_ = 0;
  std::size_t unconfirmed_ = 0;
  std::size_t dead_ = 0;
  std::uint64_t changes_ = 0;
  std::uint64_t presence_changes_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBER_LIST_H_
