#include "decision/fleet/peer_link.h"

namespace flamingoyoke {

auto PeerLink::BecomeChosen(bool is_home, TimePoint now) -> void {
  // Heartbeats may have been rare or absent until now.
  if (!is_chosen_ || (is_home && !is_home_)) {
    since_ = now;
  }
  is_chosen_ = true;
  is_home_ = is_home;
}

auto PeerLink::BecomeGuest(TimePoint now) -> void {
  is_chosen_ = false;
  is_home_ = false;
  last_message_ = now;
}

auto PeerLink::NoteHeartbeat(const Heartbeat& heartbeat,
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
  heard_ = now;
  if (heartbeat.heard_sequence == 0) {
    // The peer says that it does not hear this vm.
    heard_back_.reset();
  }
  // A sequence that was never sent belongs to an earlier process at this
  // address.
  if (heartbeat.heard_sequence > 0 &&
      heartbeat.heard_sequence <= sent_sequence) {
    heard_back_ = now;
    was_two_way_ = true;
  }
  return true;
}

auto PeerLink::HeardSequence(TimePoint now) const -> std::uint64_t {
  return heard_ && now - *heard_ <= limits().probe ? sequence_ : 0;
}

auto PeerLink::IsTwoWay(TimePoint now) const -> bool {
  return IsHeard(now) && heard_back_ && now - *heard_back_ <= limits().suspect;
}

auto PeerLink::IsHeard(TimePoint now) const -> bool {
  return heard_ && now - *heard_ <= limits().suspect;
}

auto PeerLink::IsVouched(TimePoint now) const -> bool {
  return vouched_ && now - *vouched_ <= 2 * limits().probe_period;
}

auto PeerLink::IsProbeDue(TimePoint now) const -> bool {
  return !probed_ || now - *probed_ >= limits().probe_period;
}

auto PeerLink::Silence(TimePoint now) const -> Duration {
  return now - (heard_ && *heard_ > since_ ? *heard_ : since_);
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
