#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_EVENT_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_EVENT_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/link_class.h"
#include "decision/fleet/member.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Events of Membership. A PeerEnvelope is an event, too; messages other than
// Heartbeat, IndirectProbe and MemberUpdate are ignored.

// Starts the timers; must be the first event.
struct MembershipStarted {};

// The platform's list of VMs, which may be outdated.
struct VmListSeeded {
  std::vector<Member> members;
};

// The state that this VM announces.
struct SelfAnnounced {
  bool ready = false;
  std::vector<TableDigest> tables;
  // Whether this VM failed to read the source of services, which it should read
  // on behalf of the fleet.
  bool lost_source = false;
  // Capacity for callers' requests, and the load from them.
  VmResources capacity = {};
  VmResources load = {};
};

// The newest confirmation that a reader follows the published store, for the
// heartbeats. With `announce`, all peers get a heartbeat at once.
struct SourceConfirmed {
  std::optional<SourceConfirmation> newest;
  bool announce = false;
  // How long ago the tables in force were known to be the newest ones.
  std::optional<Duration> tables_age = {};
  // The versions in force, to which both refer.
  std::vector<TableDigest> tables = {};
};

// The other members of the home sets that this VM belongs to.
struct HomePeersChanged {
  std::vector<VmId> peers;
  // Home peers that this VM needs a link to before all others.
  std::vector<VmId> first = {};
  // Whether VMs that are no home peers of this one need a link to it.
  bool is_hub = false;
};

// This VM is shutting down.
struct LeavingDeclared {};

// The process was paused; its state about other VMs is no longer valid.
struct MembershipResumed {};

struct MembershipTimer {};

using MembershipEvent = std::variant<MembershipStarted,
                                     VmListSeeded,
                                     PeerEnvelope,
                                     SelfAnnounced,
                                     SourceConfirmed,
                                     HomePeersChanged,
                                     LeavingDeclared,
                                     MembershipResumed,
                                     MembershipTimer>;

// Actions of Membership.

// The peers to keep connections to, with their mesh addresses.
struct PeersSelected {
  std::map<VmId, std::string> endpoints;
  std::map<VmId, LinkClass> links = {};
};

// No heartbeat gets through to `peer` or back: replace the connection to it, in
// case something in between has dropped its state.
struct ReopenLink {
  VmId peer;
};

// Membership::Members() or Membership::CutOff() changed.
struct MembersChanged {};

// Another process with this VM's id has started after this one.
struct SelfSuperseded {
  Incarnation incarnation;
};

// Deliver a MembershipTimer at `at`; replaces an earlier request.
struct WakeMembershipAt {
  TimePoint at;
};

using MembershipAction = std::variant<SendToPeer,
                                      PeersSelected,
                                      ReopenLink,
                                      MembersChanged,
                                      SelfSuperseded,
                                      WakeMembershipAt>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_EVENT_H_
