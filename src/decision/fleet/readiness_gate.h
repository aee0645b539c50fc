#ifndef FLAMINGOYOKE_DECISION_FLEET_READINESS_GATE_H_
#define FLAMINGOYOKE_DECISION_FLEET_READINESS_GATE_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// A fresh process waits this long for peers to tell their tables, so that it
// does not serve with an old one from a stale configuration service.
inline constexpr Duration kStartupPeerWait = std::chrono::seconds(5);
// A process that was paused waits this long for peers.
inline constexpr Duration kResumePeerWait = std::chrono::seconds(2);
// Peers to hear from; a plain count, not a quorum.
inline constexpr std::size_t kMinTwoWayPeers = 2;

// What readiness depends on.
struct ReadinessFacts {
  // Whether each shard of the table has a version in force.
  bool has_table = false;
  // Whether a newer version is being fetched from a peer.
  bool is_catching_up = false;
  // Whether this process has read the newest table itself, so that peers have
  // nothing to add.
  bool has_read_newest = false;
  // Whether the platform's list was read, and how many other vms are known
  // that are not dead.
  bool has_list = false;
  std::size_t other_vms = 0;
  // Peers with a two-way link.
  std::size_t two_way_peers = 0;
};

// Decides whether this vm takes callers. Not thread-safe.
class ReadinessGate {
 public:
  explicit ReadinessGate(TimePoint started)
      : wait_until_(started + kStartupPeerWait) {}

  // The process was paused.
  auto Resume(TimePoint now) -> void;

  // Returns whether this vm takes callers. Once it does, it goes on until the
  // process is paused: a fresh wait would take a vm out of use that has lost
  // its peers but still reaches targets.
  auto IsReady(const ReadinessFacts& facts, TimePoint now) -> bool;

  // When the answer may change without new facts, if it may.
  [[nodiscard]] auto due() const -> std::optional<TimePoint>;

 private:
  TimePoint wait_until_;
  bool is_ready_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_READINESS_GATE_H_
