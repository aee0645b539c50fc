#include "decision/fleet/peer_choice.h"

#include <utility>

#include "decision/fleet/link_class.h"
#include "decision/fleet/member_record.h"
#include "decision/fleet/membership_timing.h"
#include "decision/fleet/peer_selection.h"

namespace flamingoyoke {

auto PeerChoice::SetHomePeers(const HomePeersChanged& event, PeerLinks& links)
    -> void {
  home_peers_ = std::set<VmId>(event.peers.begin(), event.peers.end());
  first_peers_ = event.first;
  links.set_max_peers(event.is_hub ? kMaxHubPeers : kMaxPeers);
  is_stale_ = true;
}

auto PeerChoice::Update(const Member& self,
                        const MemberList& list,
                        PeerLinks& links,
                        TimePoint now) -> void {
  if (!is_stale_ && presence_changes_ == list.presence_change_count()) {
    return;
  }
  is_stale_ = false;
  presence_changes_ = list.presence_change_count();
  links.Choose(SelectPeers(self, list.records(), home_peers_, first_peers_),
               home_peers_, now);
  domain_size_ = 1;
  for (const auto& [vm, record] : list.records()) {
    const bool is_near =
        LinkClassOf(self, record.member) == LinkClass::kSameDomain;
    domain_size_ += is_near && IsPresent(record) ? 1 : 0;
  }
}

auto PeerChoice::TakeSelected(const Member& self,
                              const MemberList& list,
                              const PeerLinks& links)
    -> std::optional<PeersSelected> {
  std::map<VmId, std::string> endpoints;
  for (const auto& [vm, link] : links.links()) {
    if (const auto* record = list.Find(vm)) {
      endpoints.emplace(vm, record->member.mesh_address);
    }
  }
  if (endpoints == reported_endpoints_) {
    return std::nullopt;
  }
  reported_endpoints_ = endpoints;
  std::map<VmId, LinkClass> classes;
  for (const auto& [vm, endpoint] : endpoints) {
    classes.emplace(vm, LinkClassOf(self, list.Find(vm)->member));
  }
  return PeersSelected{std::move(endpoints), std::move(classes)};
}

}  // namespace flamingoyoke
