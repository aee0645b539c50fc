#include "decision/fleet/update_dissemination.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "decision/fleet/link_class.h"
#include "decision/fleet/membership_timing.h"
#include "decision/fleet/rendezvous.h"
#include "decision/fleet/update_receivers.h"

namespace flamingoyoke {
namespace {

auto UpdateLinksOf(const Member& self,
                   const MemberList& list,
                   const PeerLinks& links) -> std::vector<UpdateLink> {
  std::vector<UpdateLink> update_links;
  for (const auto& [vm, link] : links.links()) {
    UpdateLink each{vm};
    if (const auto* record = list.Find(vm)) {
      const auto& peer = record->member;
      each.link = LinkClassOf(self, peer);
      each.group = each.link == LinkClass::kOtherRegion
                       ? HashOf("region " + peer.region.value())
                       : HashOf("domain " + peer.failure_domain.value());
    }
    update_links.push_back(std::move(each));
  }
  return update_links;
}

// Identifies the present version of a member.
auto VersionIdOf(const Member& member) -> std::uint64_t {
  return RendezvousScore(HashOf(member.id.value()),
                         member.version + member.incarnation.value());
}

}  // namespace

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

auto UpdateDissemination::TakeReports(const Member& self,
                                      const MemberList& list,
                                      const PeerLinks& links,
                                      std::size_t domain_size)
    -> std::map<VmId, std::vector<Member>> {
  due_.reset();
  const auto changes = std::exchange(changes_, {});
  const auto update_links = UpdateLinksOf(self, list, links);
  std::map<VmId, std::vector<Member>> reports;
  for (const auto& [vm, change] : changes) {
    const auto* record = vm == self.id ? nullptr : list.Find(vm);
    if (vm != self.id && record == nullptr) {
      continue;
    }
    const auto report = record == nullptr ? self : ReportOf(*record);
    std::set<VmId> receivers;
    if (!change.is_urgent) {
      receivers = UpdateReceivers({VersionIdOf(report), HashOf(self.id.value()),
                                   domain_size, change.is_first},
                                  update_links);
    }
    for (const auto& [peer, link] : links.links()) {
      if (vm != peer && !change.known_by.contains(peer) &&
          (change.is_urgent || receivers.contains(peer))) {
        reports[peer].push_back(report);
      }
    }
  }
  return reports;
}

}  // namespace flamingoyoke
