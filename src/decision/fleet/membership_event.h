#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_EVENT_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_EVENT_H_

#include <map>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Events of the membership of one node. A PeerEnvelope is an event, too;
// messages other than Heartbeat, IndirectProbe and MemberUpdate are ignored.

// Starts the timers; the first event.
struct MembershipStarted {};

// The platform's list, which may be old.
struct VmListSeeded {
  std::vector<Member> members;
};

// What this vm announces of itself.
struct SelfAnnounced {
  bool ready = false;
  std::vector<TableDigest> tables;
  // Whether it cannot read the source of services that it should read.
  bool lost_source = false;
  // What this vm has for callers' requests, and what they take.
  VmResources capacity = {};
  VmResources load = {};
};

// The other members of the home sets that this vm belongs to.
struct HomePeersChanged {
  std::vector<VmId> peers;
};

// This vm is shutting down.
struct LeavingDeclared {};

// The process was paused; what it knew of others is no longer believed.
struct MembershipResumed {};

struct MembershipTimer {};

using MembershipEvent = std::variant<MembershipStarted,
                                     VmListSeeded,
                                     PeerEnvelope,
                                     SelfAnnounced,
                                     HomePeersChanged,
                                     LeavingDeclared,
                                     MembershipResumed,
                                     MembershipTimer>;

// Actions of the membership.

// The peers to keep connections to, with their mesh addresses.
struct PeersSelected {
  std::map<VmId, std::string> endpoints;
};

// Membership::Members() or Membership::CutOff() changed.
struct MembersChanged {};

// Another process with this vm's id has started after this one.
struct SelfSuperseded {
  Incarnation incarnation;
};

// Deliver a MembershipTimer at `at`; replaces an earlier order.
struct WakeMembershipAt {
  TimePoint at;
};

using MembershipAction = std::variant<SendToPeer,
                                      PeersSelected,
                                      MembersChanged,
                                      SelfSuperseded,
                                      WakeMembershipAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_EVENT_H_
