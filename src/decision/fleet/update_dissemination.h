#ifndef FLAMINGOYOKE_DECISION_FLEET_UPDATE_DISSEMINATION_H_
#define FLAMINGOYOKE_DECISION_FLEET_UPDATE_DISSEMINATION_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_record.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Returns a record as other nodes should read it: doubts of this node alone
// are left out, and a claim of death is kSuspect. Thread-safe.
auto ReportOf(const MemberRecord& record) -> Member;

// Splits `members` into messages of bounded size; the last one carries
// `last`'s other fields. Thread-safe.
auto SplitUpdate(const std::vector<Member>& members, MemberUpdate last)
    -> std::vector<MemberUpdate>;

// Collects changes of members for a moment, and leaves out the peers that
// told of a change when it is passed on. Not thread-safe.
class UpdateDissemination {
 public:
  // Notes that `vm` changed, as told by `from`; empty if noticed here.
  auto AddChange(const VmId& vm, const VmId& from, TimePoint now) -> void;
  // Notes that `from` told what was known already.
  auto MarkKnownBy(const VmId& vm, const VmId& from) -> void;

  // When the changes are due, if there are any.
  [[nodiscard]] auto due() const -> std::optional<TimePoint> { return due_; }

  // Returns the waiting changes with the peers that know of each.
  auto TakeChanges() -> std::map<VmId, std::set<VmId>>;

 private:
  std::map<VmId, std::set<VmId>> known_by_;
  std::optional<TimePoint> due_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_UPDATE_DISSEMINATION_H_
