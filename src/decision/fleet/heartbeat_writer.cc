#include "decision/fleet/heartbeat_writer.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Sequences follow the clock in milliseconds. A node sends far fewer than a
// thousand heartbeats per second, so they increase across restarts of the fleet
// task.
auto SequenceAt(TimePoint now) -> std::uint64_t {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(ToMilliseconds(now.time_since_epoch()), 0));
}

}  // namespace

auto HeartbeatWriter::AdvanceSequence(TimePoint now) -> void {
  sequence_ = std::max(sequence_, SequenceAt(now));
}

auto HeartbeatWriter::SetSource(const SourceConfirmed& event, TimePoint now)
    -> void {
  source_ = event.newest;
  tables_ = event.tables;
  tables_age_ = event.tables_age;
  source_set_ = now;
}

auto HeartbeatWriter::Write(const Member& self,
                            const PeerLink& link,
                            std::uint64_t membership_digest,
                            TimePoint now) -> Heartbeat {
  Heartbeat heartbeat;
  heartbeat.sequence = ++sequence_;
  heartbeat.heard_sequence = link.HeardSequence(now);
  heartbeat.leaving = self.leaving;
  heartbeat.ready = self.ready;
  heartbeat.tables = tables_;
  heartbeat.membership_digest = membership_digest;
  heartbeat.is_chosen = link.is_chosen();
  heartbeat.source = source_;
  if (heartbeat.source) {
    heartbeat.source->age += now - source_set_;
  }
  if (tables_age_) {
    heartbeat.tables_age = *tables_age_ + (now - source_set_);
  }
  return heartbeat;
}

}  // namespace flamingoyoke
