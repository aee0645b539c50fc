#ifndef FLAMINGOYOKE_DECISION_FLEET_UPDATE_DISSEMINATION_H_
#define FLAMINGOYOKE_DECISION_FLEET_UPDATE_DISSEMINATION_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_list.h"
#include "decision/fleet/member_record.h"
#include "decision/fleet/peer_links.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Returns a record as reported to other nodes: local suspicion is left out, and
// a pending report of death becomes kSuspect. Thread-safe.
auto ReportOf(const MemberRecord& record) -> Member;

// Splits `members` into messages of limited size; the last one carries the
// other fields of `last`. Thread-safe.
auto SplitUpdate(const std::vector<Member>& members, MemberUpdate last)
    -> std::vector<MemberUpdate>;

// Batches changes of members and records which peers already know of each, so
// that they are not sent back to those peers. An urgent change goes to all
// peers, any other one to its UpdateReceivers. Not thread-safe.
class UpdateDissemination {
 public:
  // Adds a change of `vm` that `from` reported; `from` is empty if this node
  // detected it.
  auto AddChange(const VmId& vm,
                 const VmId& from,
                 TimePoint now,
                 bool is_urgent = false) -> void;
  // Records that `from` already knows of a pending change.
  auto MarkKnownBy(const VmId& vm, const VmId& from) -> void;

  // When the pending changes are due, if there are any.
  [[nodiscard]] auto due() const -> std::optional<TimePoint> { return due_; }

  // Removes the pending changes and returns the reports about them for each
  // peer of `links` that needs any. `list` has the present state of the changed
  // VMs, except for `self`, and `domain_size` is the number of present VMs in
  // the failure domain of `self`, itself included.
  auto TakeReports(const Member& self,
                   const MemberList& list,
                   const PeerLinks& links,
                   std::size_t domain_size)
      -> std::map<VmId, std::vector<Member>>;

 private:
  struct Change {
    // The peers that know of it.
    std::set<VmId> known_by;
    // Whether this node detected it.
    bool is_first = false;
    // Whether it is a death or its refutation, which has a deadline.
    bool is_urgent = false;
  };

  std::map<VmId, Change> changes_;
  std::optional<TimePoint> due_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_UPDATE_DISSEMINATION_H_
