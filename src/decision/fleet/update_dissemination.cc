#include "decision/fleet/update_dissemination.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "decision/fleet/membership_timing.h"

namespace flamingoyoke {

auto ReportOf(const MemberRecord& record) -> Member {
  auto report = record.member;
  if (report.liveness == Liveness::kDead) {
    return report;
  }
  report.liveness =
      record.refutation_deadline ? Liveness::kSuspect : Liveness::kAlive;
  return report;
}

auto SplitUpdate(const std::vector<Member>& members, MemberUpdate last)
    -> std::vector<MemberUpdate> {
  std::vector<MemberUpdate> updates;
  std::size_t next = 0;
  while (members.size() - next > kMembersPerUpdate) {
    MemberUpdate update;
    update.members.assign(members.begin() + static_cast<std::ptrdiff_t>(next),
                          members.begin() + static_cast<std::ptrdiff_t>(
                                                next + kMembersPerUpdate));
    updates.push_back(std::move(update));
    next += kMembersPerUpdate;
  }
  last.members.assign(members.begin() + static_cast<std::ptrdiff_t>(next),
                      members.end());
  updates.push_back(std::move(last));
  return updates;
}

auto UpdateDissemination::AddChange(const VmId& vm,
                                    const VmId& from,
                                    TimePoint now,
                                    bool is_urgent) -> void {
  // Peers that reported an earlier state of the VM do not know the new one.
  auto& change = changes_[vm];
  change = {{}, from.empty(), is_urgent || change.is_urgent};
  if (!from.empty()) {
    change.known_by.insert(from);
  }
  if (!due_) {
    due_ = now + kUpdateBatchDelay;
  }
}

auto UpdateDissemination::MarkKnownBy(const VmId& vm, const VmId& from)
    -> void {
  const auto found = changes_.find(vm);
  if (found != changes_.end()) {
    found->second.known_by.insert(from);
  }
}

auto UpdateDissemination::TakeChanges() -> std::map<VmId, Change> {
  due_.reset();
  return std::exchange(changes_, {});
}

}  // namespace flamingoyoke
