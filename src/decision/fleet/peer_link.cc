#include "decision/fleet/peer_link.h"

namespace flamingoyoke {

auto PeerLink::MakeChosen(bool is_home, TimePoint now) -> void {
  // Heartbeats may have been rare or absent until now.
  if (!is_chosen_ || (is_home && !is_home_)) {
    heartbeats_expected_since_ = now;
  }
  is_chosen_ = true;
  is_home_ = is_home;
}

auto PeerLink::MakeTemporary(TimePoint now) -> void {
  is_chosen_ = false;
  is_home_ = false;
  last_activity_ = now;
}

auto PeerLink::RecordHeartbeat(const Heartbeat& heartbeat,
                               Incarnation incarnation,
                               std::uint64_t sent_sequence,
                               TimePoint now) -> bool {
  if (incarnation < incarnation_) {
    return false;
  }
  if (incarnation_ < incarnation) {
    incarnation_ = incarnation;
    sequence_ = 0;
  }
  if (heartbeat.sequence <= sequence_) {
    return false;
  }
  sequence_ = heartbeat.sequence;
  last_heartbeat_ = now;
  if (heartbeat.heard_sequence == 0) {
    // The peer reports that it does not hear this VM.
    last_ack_.reset();
  }
  // A sequence that this process never sent belongs to an earlier process at
  // this address.
  if (heartbeat.heard_sequence > 0 &&
      heartbeat.heard_sequence <= sent_sequence) {
    last_ack_ = now;
    was_two_way_ = true;
  }
  return true;
}

auto PeerLink::HeardSequence(TimePoint now) const -> std::uint64_t {
  return last_heartbeat_ && now - *last_heartbeat_ <= limits().probe ? sequence_
                                                                     : 0;
}

auto PeerLink::IsTwoWay(TimePoint now) const -> bool {
  return HasRecentHeartbeat(now) && last_ack_ &&
         now - *last_ack_ <= limits().suspect;
}

auto PeerLink::HasRecentHeartbeat(TimePoint now) const -> bool {
  return last_heartbeat_ && now - *last_heartbeat_ <= limits().suspect;
}

auto PeerLink::HasRecentIndirectAck(TimePoint now) const -> bool {
  return last_indirect_ack_ &&
         now - *last_indirect_ack_ <= 2 * limits().probe_period;
}

auto PeerLink::IsProbeDue(TimePoint now) const -> bool {
  return !last_probe_ || now - *last_probe_ >= limits().probe_period;
}

auto PeerLink::TakeReopenDue(TimePoint now) -> bool {
  if (IsTwoWay(now)) {
    reopen_at_ = now + kLinkReopenDelay;
    return false;
  }
  if (now < reopen_at_) {
    return false;
  }
  reopen_at_ = now + kLinkReopenPeriod;
  return true;
}

auto PeerLink::Silence(TimePoint now) const -> Duration {
  return now - (last_heartbeat_ && *last_heartbeat_ > heartbeats_expected_since_
                    ? *last_heartbeat_
                    : heartbeats_expected_since_);
}

auto PeerLink::Restarted(TimePoint now) const -> PeerLink {
  PeerLink link(now);
  link.is_chosen_ = is_chosen_;
  link.is_home_ = is_home_;
  link.incarnation_ = incarnation_;
  link.sequence_ = sequence_;
  return link;
}

}  // namespace flamingoyoke
