#ifndef FLAMINGOYOKE_DECISION_FLEET_VM_CONTACTS_H_
#define FLAMINGOYOKE_DECISION_FLEET_VM_CONTACTS_H_

#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/fleet/member_list.h"
#include "decision/fleet/peer_links.h"

namespace flamingoyoke {

// Decides which VMs without a link this node contacts, so that it joins the
// fleet after a start and the parts of a fleet find each other after a
// partition. Not thread-safe.
class VmContacts {
 public:
  // Begins the bootstrap, in which a node with too few links contacts VMs on
  // every tick. It ends after kBootstrapTimeout.
  auto Start(TimePoint now) -> void;
  // Begins it again after a pause, with the next contact at once.
  auto Resume(TimePoint now) -> void;
  [[nodiscard]] auto IsBootstrapOver(TimePoint now) const -> bool {
    return bootstrap_until_ <= now;
  }

  // Returns the VMs to contact now of those that are dead or unproven, possibly
  // some of them twice. Call on every tick.
  auto TakeAbsent(const MemberList& list,
                  const PeerLinks& links,
                  Random& random,
                  TimePoint now) -> std::vector<VmId>;

  // Returns present VMs to contact if most peers have fallen silent, possibly
  // some of them twice; otherwise none. Thread-safe.
  static auto ReplacementsForSilent(const MemberList& list,
                                    const PeerLinks& links,
                                    Random& random,
                                    TimePoint now) -> std::vector<VmId>;

 private:
  TimePoint bootstrap_until_;
  TimePoint next_contact_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_VM_CONTACTS_H_
