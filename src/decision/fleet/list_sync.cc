#include "decision/fleet/list_sync.h"

#include <utility>

#include "decision/fleet/membership_timing.h"
#include "decision/fleet/update_dissemination.h"

namespace flamingoyoke {

auto ListSync::OnDigest(const Member& self,
                        const MemberList& list,
                        const VmId& sender,
                        std::uint64_t digest,
                        PeerLink& link,
                        TimePoint now) -> DigestResult {
  if (digest == list.Digest(self)) {
    link.mismatch_since.reset();
    return DigestResult::kEqual;
  }
  if (!link.mismatch_since) {
    link.mismatch_since = now;
  }
  // A node that knows few members synchronizes at once.
  const bool knows_few_members =
      list.unconfirmed_count() > 0 || list.present_count() < kBootstrapLinks;
  const auto mismatch_delay = knows_few_members ? Duration::zero()
                              : self.id < sender
                                  ? kDigestMismatchDelay
                                  : kDigestMismatchDelayOfHigherId;
  if (now - *link.mismatch_since < mismatch_delay || now < next_request_) {
    return DigestResult::kDiffers;
  }
  link.mismatch_since = now;
  next_request_ = now + kSyncPeriod;
  return DigestResult::kSyncDue;
}

auto ListSync::MakeRequest(const Member& self, const MemberList& list)
    -> MemberUpdate {
  MemberUpdate request;
  request.members = {self};
  request.wants_answer = true;
  request.bucket_digests = list.BucketDigests(self);
  return request;
}

auto ListSync::MakeReply(const Member& self,
                         const MemberList& list,
                         const VmId& sender,
                         const MemberUpdate& request,
                         TimePoint now) -> std::vector<MemberUpdate> {
  if (request.wants_answer && now < next_reply_) {
    return {};
  }
  const auto own = list.BucketDigests(self);
  const bool has_digests = request.bucket_digests.size() == own.size();
  const auto differs = [&](std::uint64_t hash) {
    const auto bucket = MemberList::BucketOf(hash);
    return !has_digests || request.bucket_digests[bucket] != own[bucket];
  };
  std::vector<Member> members = {self};
  for (const auto& [vm, record] : list.records()) {
    if (!HasBeenHeard(record) || vm == sender || !differs(record.hash)) {
      continue;
    }
    members.push_back(ReportOf(record));
    // The report may be outdated information from the other side of a
    // partition, so the VM gets the time to refute it.
    if (members.back().liveness == Liveness::kDead) {
      members.back().liveness = Liveness::kSuspect;
    }
  }
  if (const auto* record = list.Find(sender)) {
    members.push_back(ReportOf(*record));
  }
  MemberUpdate last;
  if (request.wants_answer) {
    last.bucket_digests = own;
    next_reply_ = now + kSyncReplyTimePerMember *
                            static_cast<std::int64_t>(members.size());
  }
  return SplitUpdate(members, std::move(last));
}

}  // namespace flamingoyoke
