#ifndef FLAMINGOYOKE_DECISION_FLEET_PEER_LINK_H_
#define FLAMINGOYOKE_DECISION_FLEET_PEER_LINK_H_

#include <cstdint>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "decision/fleet/membership_timing.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// The exchange of heartbeats with one peer. A link is two-way only while each
// side hears the other. Not thread-safe.
class PeerLink {
 public:
  explicit PeerLink(TimePoint now)
      : heartbeats_expected_since_(now), last_activity_(now) {}

  // Makes the peer one that this node chose, and whose heartbeats it expects
  // from now on. `is_home` tells whether both are in the home set of a service.
  auto MakeChosen(bool is_home, TimePoint now) -> void;
  // Makes the peer a guest, whose time starts now.
  auto MakeTemporary(TimePoint now) -> void;
  [[nodiscard]] auto is_chosen() const -> bool { return is_chosen_; }
  [[nodiscard]] auto is_home() const -> bool { return is_home_; }

  // Notes a message for which a guest is kept.
  auto RecordActivity(TimePoint now) -> void { last_activity_ = now; }
  // Notes a heartbeat; `sent_sequence` is the highest that this node has sent.
  // Returns whether it is newer than those before.
  auto RecordHeartbeat(const Heartbeat& heartbeat,
                       Incarnation incarnation,
                       std::uint64_t sent_sequence,
                       TimePoint now) -> bool;
  // Notes that another peer hears this one.
  auto RecordIndirectAck(TimePoint now) -> void { last_indirect_ack_ = now; }
  auto RecordProbe(TimePoint now) -> void { last_probe_ = now; }
  // Starts over after a pause of this process.
  auto Restart(TimePoint now) -> void { *this = Restarted(now); }

  // The sequence to report as heard, 0 if the peer was not heard recently.
  [[nodiscard]] auto HeardSequence(TimePoint now) const -> std::uint64_t;
  [[nodiscard]] auto IsTwoWay(TimePoint now) const -> bool;
  // Whether the peer was heard so recently that it surely lives.
  [[nodiscard]] auto HasRecentHeartbeat(TimePoint now) const -> bool;
  // Whether a peer vouched for it within the last two rounds of questions.
  [[nodiscard]] auto HasRecentIndirectAck(TimePoint now) const -> bool;
  [[nodiscard]] auto IsProbeDue(TimePoint now) const -> bool;
  // How long the peer has been silent.
  [[nodiscard]] auto Silence(TimePoint now) const -> Duration;
  [[nodiscard]] auto limits() const -> const SilenceTimeouts& {
    return is_home_ ? kHomePeerTimeouts : kOtherPeerTimeouts;
  }
  [[nodiscard]] auto last_activity() const -> TimePoint {
    return last_activity_;
  }
  [[nodiscard]] auto was_two_way() const -> bool { return was_two_way_; }

  // Since when the digests of the member lists differ.
  std::optional<TimePoint> mismatch_since;

 private:
  [[nodiscard]] auto Restarted(TimePoint now) const -> PeerLink;

  bool is_chosen_ = false;
  bool is_home_ = false;
  bool was_two_way_ = false;
  // Since when heartbeats are expected.
  TimePoint heartbeats_expected_since_;
  TimePoint last_activity_;
  Incarnation incarnation_;
  std::uint64_t sequence_ = 0;
  std::optional<TimePoint> last_heartbeat_;
  std::optional<TimePoint> last_ack_;
  std::optional<TimePoint> last_indirect_ack_;
  std::optional<TimePoint> last_probe_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PEER_LINK_H_
