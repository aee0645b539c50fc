#ifndef FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_TIMING_H_
#define FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_TIMING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Timing and bounds of the membership. The periods and timeouts are those of
// the design page, section 3.6.

// Most peers that a node keeps connections to: each end of a connection costs
// about 29 kB.
inline constexpr std::size_t kMaxPeers = 24;
// Peers chosen by the node itself; the rest are places for guests, that is,
// vms that chose this node, ask for a probe or have to be found again.
inline constexpr std::size_t kMaxChosenPeers = 20;
// Share of the chosen peers that home sets may take; beyond it the rings that
// hold the fleet together would lose their links.
inline constexpr std::size_t kMaxHomePeers = 12;

// Period of heartbeats to home set peers, and of all checks.
inline constexpr Duration kTick = std::chrono::milliseconds(250);
// Heartbeats to other peers are sent on each fourth tick, every second.
inline constexpr std::uint64_t kTicksPerSlowHeartbeat = 4;

// How long a peer may be silent.
struct SilenceTimeouts {
  // Other peers are asked whether they hear it.
  Duration probe;
  // It is suspected unless another peer has vouched for it.
  Duration suspect;
  // It is dead unless another peer has vouched for it.
  Duration dead;
  // Between two rounds of questions.
  Duration probe_period;
};
inline constexpr SilenceTimeouts kHomePeerTimeouts = {
    std::chrono::milliseconds(1000), std::chrono::milliseconds(1500),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(500)};
inline constexpr SilenceTimeouts kOtherPeerTimeouts = {
    std::chrono::milliseconds(3000), std::chrono::milliseconds(4000),
    std::chrono::milliseconds(5000), std::chrono::milliseconds(1000)};

// Peers that are asked about a silent one in each round.
inline constexpr std::size_t kIndirectProbeFanout = 3;
// A helper vouches at once for a subject that it heard this recently. It is
// less than the silence that makes the others ask, so that nobody vouches for
// a vm on the ground of a heartbeat from before its death.
inline constexpr Duration kRecentHeartbeatAge = std::chrono::milliseconds(500);
// How long a helper waits for a sign of the subject otherwise: until the next
// heartbeat of a slow link.
inline constexpr Duration kIndirectProbeTimeout =
    std::chrono::milliseconds(1100);

// A vm that was found dead on the other side of a partition, or by an old
// report, has this long to refute it before its state changes here.
inline constexpr Duration kRefutationTimeout = std::chrono::seconds(2);

// Changes wait this long, so that those of one moment share a message.
inline constexpr Duration kUpdateBatchDelay = std::chrono::milliseconds(20);
// A member takes about 110 bytes; this keeps a message below 8 KB.
inline constexpr std::size_t kMembersPerUpdate = 64;

// A difference of digests must last this long before lists are compared:
// changes reach every node within a second.
inline constexpr Duration kDigestMismatchDelay =
    std::chrono::milliseconds(2500);
// Two nodes that differ need only one comparison; the one with the higher id
// waits longer.
inline constexpr Duration kDigestMismatchDelayOfHigherId =
    std::chrono::seconds(5);
// Between two comparisons that one node starts.
inline constexpr Duration kSyncPeriod = std::chrono::seconds(1);
// Time that an answer to a comparison takes up for each member it lists. With
// about 110 bytes a member, answers stay below 110 KB/s.
inline constexpr Duration kSyncReplyTimePerMember =
    std::chrono::milliseconds(1);

// A guest is dropped after this time without a message.
inline constexpr Duration kTemporaryPeerTimeout = std::chrono::seconds(3);
// Contacts to vms that are unproven or dead are made on each tick while the
// node knows almost nobody, for this long after a start or pause.
inline constexpr Duration kBootstrapTimeout = std::chrono::seconds(10);
inline constexpr std::size_t kBootstrapContacts = 3;
// Two-way links that end the bootstrap.
inline constexpr std::size_t kBootstrapLinks = 2;
// Afterwards, contacts are made with at least this period, and less often
// where many nodes share the work: the fleet contacts each such vm about
// twice a second.
inline constexpr Duration kMinContactPeriod = std::chrono::seconds(2);
inline constexpr double kContactsPerSecond = 2.0;

// A dead vm, or one that was never heard, is forgotten after this time. Most
// nodes do not watch the platform's list, so its absence there says nothing.
inline constexpr Duration kTombstoneLifetime = std::chrono::minutes(10);
// Between two searches for records to forget.
inline constexpr Duration kTombstoneSweepPeriod = std::chrono::seconds(10);

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_MEMBERSHIP_TIMING_H_
