#ifndef FLAMINGOYOKE_DECISION_FLEET_HEARTBEAT_WRITER_H_
#define FLAMINGOYOKE_DECISION_FLEET_HEARTBEAT_WRITER_H_

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "core/time.h"
#include "decision/fleet/member.h"
#include "decision/fleet/membership_event.h"
#include "decision/fleet/peer_link.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Writes and numbers the heartbeats of this node, with what they tell about its
// tables and the published store. Not thread-safe.
class HeartbeatWriter {
 public:
  // Raises the sequence to that of the clock, so that it also increases when
  // only the fleet task restarts. Call at the start, on every tick and after a
  // pause.
  auto AdvanceSequence(TimePoint now) -> void;

  // The digests of the tables in force.
  auto set_tables(std::vector<TableDigest> tables) -> void {
    tables_ = std::move(tables);
  }
  // Sets what is known at `now` about the store and the tables in force; the
  // heartbeats tell the age that it has when they are written.
  auto SetSource(const SourceConfirmed& event, TimePoint now) -> void;

  // Returns the next heartbeat of `self` over `link`. `membership_digest` is
  // that of the own member list.
  auto Write(const Member& self,
             const PeerLink& link,
             std::uint64_t membership_digest,
             TimePoint now) -> Heartbeat;

  // Highest sequence sent.
  [[nodiscard]] auto last_sequence() const -> std::uint64_t {
    return sequence_;
  }

 private:
  std::uint64_t sequence_ = 0;
  std::vector<TableDigest> tables_;
  // The newest confirmation, and the age of the tables in force.
  std::optional<SourceConfirmation> source_;
  std::optional<Duration> tables_age_;
  // When both were set.
  TimePoint source_set_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_HEARTBEAT_WRITER_H_
