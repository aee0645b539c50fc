#ifndef FLAMINGOYOKE_DECISION_FLEET_READINESS_GATE_H_
#define FLAMINGOYOKE_DECISION_FLEET_READINESS_GATE_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// How long a new process waits for peers to report their table versions, so
// that it does not serve an old table from a stale configuration service.
inline constexpr Duration kStartupPeerWait = std::chrono::seconds(5);
// How long a process that reads its table before it accepts callers waits for
// the source. After that, peers that accept callers themselves are trusted.
inline constexpr Duration kSourceReadWait = std::chrono::seconds(1);
// How long a process waits for peers after a pause.
inline constexpr Duration kResumePeerWait = std::chrono::seconds(2);
// Number of two-way peers to wait for; not a quorum.
inline constexpr std::size_t kMinTwoWayPeers = 2;

// Inputs of the readiness decision.
struct ReadinessFacts {
  // Whether callers and peers can connect to this VM. False at the start while
  // another socket holds one of its addresses.
  bool is_listening = false;
  // Whether each shard of the table has a version in force.
  bool has_table = false;
  // Whether a newer version is being fetched from a peer.
  bool is_catching_up = false;
  // Whether this process has read the newest table itself, in which case peers
  // cannot have a newer one.
  bool has_read_newest = false;
  // Whether the source always returns its newest table, so that it is worth
  // waiting for.
  bool is_source_current = false;
  // Whether the platform's list was read, and the number of other known VMs
  // that are not dead.
  bool has_list = false;
  std::size_t other_vms = 0;
  // Peers with a two-way link. With a current source, only those that accept
  // callers: others may have no table, or an outdated one from the same peer.
  std::size_t two_way_peers = 0;
};

// Decides whether this VM accepts callers. Not thread-safe.
class ReadinessGate {
 public:
  explicit ReadinessGate(TimePoint started)
      : wait_until_(started + kStartupPeerWait),
        source_wait_until_(started + kSourceReadWait) {}

  // Resets readiness after a pause of the process.
  auto Resume(TimePoint now) -> void;

  // Returns whether this VM accepts callers. Once ready, it stays ready until
  // the process is paused: waiting again would take a VM out of service that
  // has lost its peers but still reaches targets.
  auto IsReady(const ReadinessFacts& facts, TimePoint now) -> bool;

  // Returns when readiness may change without new inputs, if it may.
  [[nodiscard]] auto due() const -> std::optional<TimePoint>;

 private:
  TimePoint wait_until_;
  TimePoint source_wait_until_;
  bool is_ready_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_READINESS_GATE_H_
