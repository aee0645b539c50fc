#ifndef FLAMINGOYOKE_DECISION_FLEET_LIST_SYNC_H_
#define FLAMINGOYOKE_DECISION_FLEET_LIST_SYNC_H_

#include <array>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_list.h"
#include "decision/fleet/peer_link.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Result of comparing the digest of the own member list with that of a peer.
enum class DigestResult {
  kEqual,
  kDiffers,  // Updates on the way may still end the difference.
  kSyncDue,  // The peer is to be asked for the members that differ.
};

template <>
struct EnumNames<DigestResult> {
  static constexpr auto kTable = std::to_array<NameEntry<DigestResult>>({
      {DigestResult::kEqual, "equal"},
      {DigestResult::kDiffers, "differs"},
      {DigestResult::kSyncDue, "sync-due"},
  });
};
static_assert(IsDense<DigestResult>());

// Synchronizes the member lists of two nodes whose digests stay different,
// because one of them missed updates. A request carries a digest for each
// bucket of the list, and the reply the members of the buckets that differ.
// Both are limited in rate. Not thread-safe.
class ListSync {
 public:
  // Allows the next request at once, after a pause that ended at `now`.
  auto Resume(TimePoint now) -> void { next_request_ = now; }

  // Compares `digest`, which the peer `sender` sent over `link`, with that of
  // `list` and `self`, and records in `link` since when they have differed.
  // After kSyncDue, send MakeRequest to the peer.
  auto OnDigest(const Member& self,
                const MemberList& list,
                const VmId& sender,
                std::uint64_t digest,
                PeerLink& link,
                TimePoint now) -> DigestResult;

  // Returns a request for the members that differ. Thread-safe.
  static auto MakeRequest(const Member& self, const MemberList& list)
      -> MemberUpdate;

  // Returns the reply to `request` of `sender`, in messages of limited size. It
  // asks in return for what `sender` knows better, if `request` wants an
  // answer. Empty if the last such reply was too recent.
  auto MakeReply(const Member& self,
                 const MemberList& list,
                 const VmId& sender,
                 const MemberUpdate& request,
                 TimePoint now) -> std::vector<MemberUpdate>;

 private:
  TimePoint next_request_;
  TimePoint next_reply_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_LIST_SYNC_H_
