#ifndef FLAMINGOYOKE_DECISION_FLEET_PEER_LINKS_H_
#define FLAMINGOYOKE_DECISION_FLEET_PEER_LINKS_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/fleet/peer_link.h"

namespace flamingoyoke {

// The links to chosen and temporary peers, at most kMaxPeers in total
// unless set_max_peers allows more. Not thread-safe.
class PeerLinks {
 public:
  // Replaces the chosen peers; those no longer chosen stay as temporary peers
  // until kTemporaryPeerTimeout.
  auto Choose(const std::vector<VmId>& chosen,
              const std::set<VmId>& home,
              TimePoint now) -> void;

  // Returns the link to `vm`; adds it as a temporary peer if there is none. If
  // all places are taken, evicts the temporary peer with the oldest activity;
  // returns null if all peers are chosen ones.
  auto FindOrAdd(const VmId& vm, TimePoint now) -> PeerLink*;

  // Drops temporary peers whose timeout has passed.
  auto DropIdleTemporaryPeers(TimePoint now) -> void;
  auto Drop(const VmId& vm) -> void;

  // Resets all links after a pause.
  auto Restart(TimePoint now) -> void;

  // Returns the link to `vm` or null.
  auto Find(const VmId& vm) -> PeerLink*;
  [[nodiscard]] auto links() const -> const std::map<VmId, PeerLink>& {
    return links_;
  }
  auto links() -> std::map<VmId, PeerLink>& { return links_; }

  // Returns the peers with a two-way link, in order.
  [[nodiscard]] auto TwoWay(TimePoint now) const -> std::vector<VmId>;

  // Returns the home peers that have been silent long enough for indirect
  // probes.
  [[nodiscard]] auto SilentHome(TimePoint now) const -> std::set<VmId>;

  // Returns at most `count` peers with a two-way link other than `subject`.
  auto SelectProbeHelpers(const VmId& subject,
                          std::size_t count,
                          Random& random,
                          TimePoint now) const -> std::vector<VmId>;

  // Sets the maximum number of links. Links beyond it stay until they are idle.
  auto set_max_peers(std::size_t max_peers) -> void { max_peers_ = max_peers; }

  // Number of changes of the set of peers.
  [[nodiscard]] auto change_count() const -> std::uint64_t { return changes_; }

 private:
  auto EvictTemporaryPeer() -> bool;

  std::map<VmId, PeerLink> links_;
  std::size_t max_peers_ = kMaxPeers;
  std::uint64_t changes_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_PEER_LINKS_H_
