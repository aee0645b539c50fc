#ifndef FLAMINGOYOKE_DECISION_FLEET_PEER_LINK_H_
#define FLAMINGOYOKE_DECISION_FLEET_PEER_LINK_H_

#include <cstdint>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/membership_timing.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// State of the heartbeat exchange with one peer. A link is two-way only while
// each side receives heartbeats from the other. Not thread-safe.
class PeerLink {
 public:
  explicit PeerLink(TimePoint now)
      : heartbeats_expected_since_(now),
        last_activity_(now),
        reopen_at_(now + kLinkReopenPeriod) {}

  // Marks the peer as chosen by this node, which expects its heartbeats from
  // now on. `is_home` tells whether both are in the home set of a service.
  auto MakeChosen(bool is_home, TimePoint now) -> void;
  // Marks the peer as temporary; its timeout starts now.
  auto MakeTemporary(TimePoint now) -> void;
  [[nodiscard]] auto is_chosen() const -> bool { return is_chosen_; }
  [[nodiscard]] auto is_home() const -> bool { return is_home_; }

  // Records a message that keeps a temporary peer.
  auto RecordActivity(TimePoint now) -> void { last_activity_ = now; }
  // Records a heartbeat; `sent_sequence` is the highest sequence that this node
  // has sent. Returns whether the heartbeat is newer than those before.
  auto RecordHeartbeat(const Heartbeat& heartbeat,
                       Incarnation incarnation,
                       std::uint64_t sent_sequence,
                       TimePoint now) -> bool;
  // Records that another peer hears this one.
  auto RecordIndirectAck(TimePoint now) -> void { last_indirect_ack_ = now; }
  auto RecordProbe(TimePoint now) -> void { last_probe_ = now; }
  // Resets all timing state after a pause of this process.
  auto Restart(TimePoint now) -> void { *this = Restarted(now); }

  // The sequence to acknowledge; 0 if the peer was not heard recently.
  [[nodiscard]] auto HeardSequence(TimePoint now) const -> std::uint64_t;
  [[nodiscard]] auto IsTwoWay(TimePoint now) const -> bool;
  // Whether the peer was heard recently enough to count as alive.
  [[nodiscard]] auto HasRecentHeartbeat(TimePoint now) const -> bool;
  // Whether a peer acknowledged it within the last two rounds of indirect
  // probes.
  [[nodiscard]] auto HasRecentIndirectAck(TimePoint now) const -> bool;
  [[nodiscard]] auto IsProbeDue(TimePoint now) const -> bool;
  // Returns whether the connection to the peer must be reopened, because the
  // link has not been two-way for kLinkReopenDelay, or kLinkReopenPeriod after
  // it was created or last reopened. Must be called on every tick.
  auto TakeReopenDue(TimePoint now) -> bool;
  // How long the peer has been silent.
  [[nodiscard]] auto Silence(TimePoint now) const -> Duration;
  [[nodiscard]] auto limits() const -> const SilenceTimeouts& {
    return is_home_ ? kHomePeerTimeouts : kOtherPeerTimeouts;
  }
  [[nodiscard]] auto last_activity() const -> TimePoint {
    return last_activity_;
  }
  [[nodiscard]] auto was_two_way() const -> bool { return was_two_way_; }

  // Since when the digests of the member lists have differed.
  std::optional<TimePoint> mismatch_since;

 private:
  [[nodiscard]] auto Restarted(TimePoint now) const -> PeerLink;

  bool is_chosen_ = false;
  bool is_home_ = false;
  bool was_two_way_ = false;
  // Since when heartbeats have been expected.
  TimePoint heartbeats_expected_since_;
  TimePoint last_activity_;
  Incarnation incarnation_;
  std::uint64_t sequence_ = 0;
  std::optional<TimePoint> last_heartbeat_;
  std::optional<TimePoint> last_ack_;
  std::optional<TimePoint> last_indirect_ack_;
  std::optional<TimePoint> last_probe_;
  TimePoint reopen_at_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PEER_LINK_H_
