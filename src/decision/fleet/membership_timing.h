#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_TIMING_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_TIMING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Periods, timeouts and limits of the membership. The periods and timeouts are
// those of the design page, section 3.6.

// Maximum number of peers that a node keeps connections to. Each end of a
// connection takes about 29 kB.
inline constexpr std::size_t kMaxPeers = 24;
// The same for a VM that keeps quotas, which all entries need a link to. A
// fleet of today has up to 40 entries; 64 links take 3.7 MB at both ends.
inline constexpr std::size_t kMaxHubPeers = 64;
// Maximum number of peers that the node chooses itself. The rest is for
// temporary peers: VMs that chose this node, are probed on behalf of another,
// or have to be found again.
inline constexpr std::size_t kMaxChosenPeers = 20;
// Number of chosen peers that home sets may take. With more, the rings that
// keep the fleet connected would lose links.
inline constexpr std::size_t kMaxHomePeers = 12;

// Period of heartbeats to home peers, and of all checks.
inline constexpr Duration kTick = std::chrono::milliseconds(250);
// Heartbeats to other peers are sent on every fourth tick, once per second.
inline constexpr std::uint64_t kTicksPerSlowHeartbeat = 4;

// Timeouts for a silent peer.
struct SilenceTimeouts {
  // Until other peers are asked whether they hear it.
  Duration probe;
  // Until it is suspected, unless another peer has acknowledged it.
  Duration suspect;
  // Until it is declared dead, unless another peer has acknowledged it.
  Duration dead;
  // Between two rounds of indirect probes.
  Duration probe_period;
};
inline constexpr SilenceTimeouts kHomePeerTimeouts = {
    std::chrono::milliseconds(1000), std::chrono::milliseconds(1500),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(500)};
inline constexpr SilenceTimeouts kOtherPeerTimeouts = {
    std::chrono::milliseconds(3000), std::chrono::milliseconds(4000),
    std::chrono::milliseconds(5000), std::chrono::milliseconds(1000)};

// How long a link must not have been two-way before its connection is reopened.
// Longer than a tick, so that one late heartbeat does not count.
inline constexpr Duration kLinkReopenDelay = std::chrono::milliseconds(500);
// Time between two attempts to reopen a link. A connection is established
// within one second, and the slowest heartbeats are sent once per second.
inline constexpr Duration kLinkReopenPeriod = std::chrono::seconds(3);

// Number of peers that are asked about a silent one in each round.
inline constexpr std::size_t kIndirectProbeFanout = 3;
// A helper acknowledges a subject at once if it heard from it this recently.
// Must be less than the silence that triggers indirect probes, so that no
// helper acknowledges a VM because of a heartbeat sent before its death.
inline constexpr Duration kRecentHeartbeatAge = std::chrono::milliseconds(500);
// How long a helper otherwise waits for a heartbeat of the subject: until the
// next heartbeat of a slow link.
inline constexpr Duration kIndirectProbeTimeout =
    std::chrono::milliseconds(1100);

// Time for a VM to refute a report of its death, if the report comes from the
// other side of a partition or is outdated, before its state changes here.
inline constexpr Duration kRefutationTimeout = std::chrono::seconds(2);

// Changes are batched for this long, so that simultaneous changes share a
// message.
inline constexpr Duration kUpdateBatchDelay = std::chrono::milliseconds(20);
// An encoded member takes about 110 bytes; this keeps a message below 8 KB.
inline constexpr std::size_t kMembersPerUpdate = 64;

// Digests must differ for this long before lists are synchronized, because
// changes reach every node within a second.
inline constexpr Duration kDigestMismatchDelay =
    std::chrono::milliseconds(2500);
// A difference between two nodes needs only one synchronization, so the node
// with the higher id waits longer.
inline constexpr Duration kDigestMismatchDelayOfHigherId =
    std::chrono::seconds(5);
// Minimum time between two sync requests of a node.
inline constexpr Duration kSyncPeriod = std::chrono::seconds(1);
// Minimum time between two sync replies, for each member in the first one. With
// about 110 bytes per member, replies stay below 110 KB/s.
inline constexpr Duration kSyncReplyTimePerMember =
    std::chrono::milliseconds(1);

// A temporary peer is dropped after this time without a message.
inline constexpr Duration kTemporaryPeerTimeout = std::chrono::seconds(3);
// For this long after a start or pause, a node with too few links contacts
// unproven and dead VMs on every tick.
inline constexpr Duration kBootstrapTimeout = std::chrono::seconds(10);
inline constexpr std::size_t kBootstrapContacts = 3;
// Number of two-way links that ends the bootstrap.
inline constexpr std::size_t kBootstrapLinks = 2;
// Afterwards, contacts are made with at least this period. The period grows
// with the fleet, so that the fleet as a whole contacts each such VM about
// twice per second.
inline constexpr Duration kMinContactPeriod = std::chrono::seconds(2);
inline constexpr double kContactsPerSecond = 2.0;

// A VM that is dead or was never heard from is removed after this time. Most
// nodes do not watch the platform's list, so absence from it is no reason to
// remove a VM earlier.
inline constexpr Duration kTombstoneLifetime = std::chrono::minutes(10);
// Period of removing expired records.
inline constexpr Duration kTombstoneSweepPeriod = std::chrono::seconds(10);

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_TIMING_H_
