#ifndef FLAMINGOYOKE_DECISION_FLEET_PEER_CHOICE_H_
#define FLAMINGOYOKE_DECISION_FLEET_PEER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_list.h"
#include "decision/fleet/membership_event.h"
#include "decision/fleet/peer_links.h"

namespace flamingoyoke {

// Keeps the links of this node in line with the home peers and the present VMs,
// and reports the connections that they need. Not thread-safe.
class PeerChoice {
 public:
  // Sets the home peers. Takes effect with the next Update.
  auto SetHomePeers(const HomePeersChanged& event, PeerLinks& links) -> void;

  // Chooses the peers of `links` anew if the home peers or the present VMs of
  // `list` have changed since the last call.
  auto Update(const Member& self,
              const MemberList& list,
              PeerLinks& links,
              TimePoint now) -> void;

  // Returns the connections that `links` need, if they or the addresses have
  // changed since the last call.
  auto TakeSelected(const Member& self,
                    const MemberList& list,
                    const PeerLinks& links) -> std::optional<PeersSelected>;

  // Number of present VMs in the failure domain of this VM, itself included, at
  // the last choice.
  [[nodiscard]] auto domain_size() const -> std::size_t { return domain_size_; }

 private:
  std::set<VmId> home_peers_;
  std::vector<VmId> first_peers_;
  bool is_stale_ = false;
  // MemberList::presence_change_count() at the last choice.
  std::uint64_t presence_changes_ = 0;
  std::size_t domain_size_ = 1;
  std::map<VmId, std::string> reported_endpoints_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PEER_CHOICE_H_
