#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/fleet/heartbeat_writer.h"
#include "decision/fleet/list_sync.h"
#include "decision/fleet/member.h"
#include "decision/fleet/member_list.h"
#include "decision/fleet/membership_event.h"
#include "decision/fleet/peer_choice.h"
#include "decision/fleet/peer_links.h"
#include "decision/fleet/pending_indirect_probes.h"
#include "decision/fleet/resume_filter.h"
#include "decision/fleet/update_dissemination.h"
#include "decision/fleet/vm_contacts.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Maintains the fleet membership of one node from three sources: the platform's
// list, which lags behind, heartbeats with a bounded set of peers, and updates
// that peers disseminate. Deterministic: the same events always produce the
// same actions. Not thread-safe.
class Membership {
 public:
  // `self` holds the id, incarnation, addresses, failure domain and region of
  // this VM. Precondition: its incarnation is positive.
  Membership(Member self, Random random);

  // Handles an event at `now`, which never goes back, and returns the actions
  // to carry out, in order.
  auto OnEvent(const MembershipEvent& event, TimePoint now)
      -> std::vector<MembershipAction>;

  // Returns all known VMs, including this one, ordered by id.
  [[nodiscard]] auto Members() const -> std::vector<Member> {
    return list_.MembersWith(self_);
  }
  // Returns the alive chosen peers without a two-way link, in order.
  [[nodiscard]] auto CutOff(TimePoint now) const -> std::vector<VmId>;
  // Returns the home peers that have been silent long enough for indirect
  // probes, well before they are suspected.
  [[nodiscard]] auto SilentHomePeers(TimePoint now) const -> std::set<VmId> {
    return links_.SilentHome(now);
  }
  // Returns the peers with a two-way link, in order.
  [[nodiscard]] auto TwoWayPeers(TimePoint now) const -> std::vector<VmId> {
    return links_.TwoWay(now);
  }
  [[nodiscard]] auto self() const -> const Member& { return self_; }
  [[nodiscard]] auto list() const -> const MemberList& { return list_; }
  // Number of peers, temporary ones included; at most kMaxPeers, or
  // kMaxHubPeers on a hub.
  [[nodiscard]] auto peer_count() const -> std::size_t {
    return links_.links().size();
  }

 private:
  // Events.
  auto Handle(const MembershipStarted& event, TimePoint now) -> void;
  auto Handle(const VmListSeeded& event, TimePoint now) -> void;
  auto Handle(const PeerEnvelope& envelope, TimePoint now) -> void;
  auto Handle(const SelfAnnounced& event, TimePoint now) -> void;
  auto Handle(const SourceConfirmed& event, TimePoint now) -> void;
  auto Handle(const HomePeersChanged& event, TimePoint now) -> void;
  auto Handle(const LeavingDeclared& event, TimePoint now) -> void;
  auto Handle(const MembershipResumed& event, TimePoint now) -> void;
  auto Handle(const MembershipTimer& event, TimePoint now) -> void;

  // Messages of peers.
  auto HandleMessage(const PeerEnvelope& envelope,
                     const Heartbeat& heartbeat,
                     TimePoint now) -> void;
  auto HandleMessage(const PeerEnvelope& envelope,
                     const IndirectProbe& probe,
                     TimePoint now) -> void;
  auto HandleMessage(const PeerEnvelope& envelope,
                     const MemberUpdate& update,
                     TimePoint now) -> void;
  auto HandleReport(const VmId& sender, const Member& report, TimePoint now)
      -> void;
  auto HandleReportOfSelf(const Member& report, TimePoint now) -> void;
  auto HandleDigest(const VmId& sender,
                    PeerLink& link,
                    std::uint64_t digest,
                    TimePoint now) -> void;

  // Periodic work.
  auto Tick(TimePoint now) -> void;
  auto CheckSilence(const VmId& vm, PeerLink& link, TimePoint now) -> void;
  auto ContactAbsentVms(TimePoint now) -> void;
  // Contacts live VMs that are no peers if most peers have fallen silent.
  auto ReplaceSilentPeers(TimePoint now) -> void;

  // Sending.
  auto Send(const VmId& peer, PeerMessage message) -> void;
  auto SendHeartbeat(const VmId& peer, const PeerLink& link, TimePoint now)
      -> void;
  auto SendMembers(const VmId& peer,
                   const std::vector<Member>& members,
                   MemberUpdate last) -> void;
  auto DisseminateUpdates() -> void;
  auto AnnounceSelf(TimePoint now, bool is_urgent = false) -> void;

  auto CollectActions(TimePoint now) -> std::vector<MembershipAction>;

  Member self_;
  Random random_;
  MemberList list_;
  PeerLinks links_;
  PeerChoice peer_choice_;
  UpdateDissemination update_dissemination_;
  PendingIndirectProbes pending_probes_;
  VmContacts contacts_;
  ListSync list_sync_;
  HeartbeatWriter heartbeats_;
  ResumeFilter resume_filter_;

  std::uint64_t ticks_ = 0;
  std::optional<TimePoint> next_tick_;
  TimePoint next_tombstone_sweep_;

  // State that the last actions reported.
  std::uint64_t reported_changes_ = 0;
  std::vector<VmId> reported_cut_off_;
  std::optional<TimePoint> scheduled_wake_;

  std::vector<MembershipAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_H_
