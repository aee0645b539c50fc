#ifndef FLAMINGOYOKE_DECISION_FLEET_TABLE_DISSEMINATION_H_
#define FLAMINGOYOKE_DECISION_FLEET_TABLE_DISSEMINATION_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/fleet/table_currency.h"
#include "decision/fleet/table_dissemination_event.h"
#include "decision/fleet/table_history.h"
#include "decision/fleet/table_pull_state.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Up to this number of shards, heartbeats list the digest of each; otherwise
// only the sum of all, so that their size does not grow with the table.
inline constexpr std::uint32_t kMaxShardsInHeartbeat = 4;
// Stands for all shards in the digest of the sum and in the request for all
// digests.
inline constexpr std::uint32_t kAllShards = 0xFFFFFFFF;

// The first read of a new node is spread over this time, and over more time in
// a large fleet, so that a restart of all nodes stays below the read rate that
// the configuration service allows.
inline constexpr Duration kFirstReadJitter = std::chrono::seconds(1);
inline constexpr double kFirstReadsPerSecond = 710.0;
// The first read is abandoned after this time if a table is in force.
inline constexpr Duration kFirstReadTimeout = std::chrono::seconds(5);

// Maximum number of rejected versions that are remembered.
inline constexpr std::size_t kMaxRejectedVersions = 16;
// The digest sums of two nodes must differ for this long before digests are
// requested, because announcements arrive within a second.
inline constexpr Duration kDigestSumMismatchDelay = std::chrono::seconds(2);

// With FirstRead::kBeforeReady, the first read is spread over this time instead
// of kFirstReadJitter, because callers wait for it.
inline constexpr Duration kPromptReadJitter = std::chrono::milliseconds(240);

// A fleet of this size or less can read the source at once: with 60 pages each,
// 48 VMs take 1.4 s at 2,000 calls/s.
inline constexpr std::size_t kMaxPromptReaders = 48;
// In a larger fleet, VMs that are not among the first to read wait this long
// for tables of peers that are known to be the newest ones. Reads by all VMs
// would exceed what the source allows and delay all of them: 300 VMs with 60
// pages each take 30 s at 620 calls/s.
inline constexpr Duration kPeerTableWait = std::chrono::seconds(3);

// When a new node reads the source of the table itself.
enum class FirstRead {
  // Once, spread over time: the source may be stale, so peers decide.
  kSpread,
  // Before it accepts callers: the source always returns its newest state,
  // whereas the table of a peer may be outdated.
  kBeforeReady,
};

template <>
struct EnumNames<FirstRead> {
  static constexpr auto kTable = std::to_array<NameEntry<FirstRead>>({
      {FirstRead::kSpread, "spread"},
      {FirstRead::kBeforeReady, "before-ready"},
  });
};
static_assert(IsDense<FirstRead>());

// A newer version than the one in force that is being fetched from peers.
struct PendingPull {
  TableDigest wanted;
  // Time since the first peer announced it, and the number of requests for it.
  Duration announced_ago = Duration::zero();
  std::size_t pulls = 0;
};

// Keeps the newest accepted version of each shard of the table and disseminates
// it among peers. Versions are ordered by era, revision, then hash, and never
// go back. Not thread-safe.
class TableDissemination {
 public:
  // Precondition: `shard_count` is positive.
  TableDissemination(std::uint32_t shard_count,
                     Random random,
                     FirstRead first_read = FirstRead::kSpread);

  // Handles an event at `now`, which never goes back, and returns the actions
  // to carry out, in order.
  auto OnEvent(const TableDisseminationEvent& event, TimePoint now)
      -> std::vector<TableDisseminationAction>;

  // Returns the digests that heartbeats carry for the table in force.
  [[nodiscard]] auto Digests() const -> std::vector<TableDigest>;
  // Returns the versions in force and those that were rejected lately, of all
  // shards. Peers of another release may accept what this VM rejects.
  [[nodiscard]] auto Settled() const -> std::vector<TableDigest>;
  // Whether a version of each shard is in force.
  [[nodiscard]] auto IsComplete() const -> bool;
  // Whether this node has read the newest state of the source itself since its
  // start or its last pause, or has it from a peer that is known to have had
  // the newest state since then.
  [[nodiscard]] auto HasReadNewest() const -> bool;
  // How long ago the versions in force were known to be the newest ones.
  [[nodiscard]] auto CurrencyAge(TimePoint now) const
      -> std::optional<Duration>;
  // Whether a newer version is known to exist and is being fetched.
  [[nodiscard]] auto IsCatchingUp() const -> bool { return !pulls_.empty(); }
  // Returns the versions that are being fetched.
  [[nodiscard]] auto PendingPulls(TimePoint now) const
      -> std::vector<PendingPull>;
  // Returns the version in force of `shard`, or nothing.
  [[nodiscard]] auto InForce(std::uint32_t shard) const
      -> std::optional<TableDigest>;
  // Returns the text of the version of `shard` with `hash` that is or was in
  // force, or nullptr if it is not kept. Valid until the next event.
  [[nodiscard]] auto TextOf(std::uint32_t shard, std::uint64_t hash) const
      -> const std::string*;

 private:
  struct Version {
    TableDigest digest;
    std::string text;
    // Peer that sent it; empty if it was read from its source.
    VmId sender;
  };
  struct PullPause {
    // Until when no further version of the shard is pulled.
    TimePoint until;
    // Whether a pull waits for the end.
    bool delays_pull = false;
  };

  auto Handle(const TableDisseminationStarted& event, TimePoint now) -> void;
  auto Handle(const TableFleetChanged& event, TimePoint now) -> void;
  auto Handle(const TableTextRead& event, TimePoint now) -> void;
  auto Handle(const SourceRead& event, TimePoint now) -> void;
  auto Handle(const TableDisseminationResumed& event, TimePoint now) -> void;
  auto Handle(const TableChecked& event, TimePoint now) -> void;
  auto Handle(const TableUnreadable& event, TimePoint now) -> void;
  auto Handle(const PeerEnvelope& envelope, TimePoint now) -> void;
  auto Handle(const TableDisseminationTimer& event, TimePoint now) -> void;

  auto HandleMessage(const VmId& sender,
                     const Heartbeat& heartbeat,
                     TimePoint now) -> void;
  auto HandleMessage(const VmId& sender,
                     const TableAnnounce& announce,
                     TimePoint now) -> void;
  auto HandleMessage(const VmId& sender, const TablePull& pull, TimePoint now)
      -> void;
  auto HandleMessage(const VmId& sender, const TableData& data, TimePoint now)
      -> void;
  auto HandleDigestSum(const VmId& sender,
                       const TableDigest& sum,
                       TimePoint now) -> void;

  auto SubmitForCheck(Version version) -> void;
  auto Accept(Version version, TimePoint now) -> void;
  auto AddPullSource(const VmId& peer, const TableDigest& digest, TimePoint now)
      -> void;
  auto ContinuePulls(TimePoint now) -> void;
  // Pulls no further version of `shard` for a while after one was accepted.
  auto PausePulls(std::uint32_t shard, Duration took, TimePoint now) -> void;
  // Returns when `shard` may be pulled again if that is after `now`.
  [[nodiscard]] auto PauseOf(std::uint32_t shard, TimePoint now) const
      -> std::optional<TimePoint>;
  [[nodiscard]] auto IsNewer(const TableDigest& digest) const -> bool;
  [[nodiscard]] auto IsRejected(const TableDigest& digest) const -> bool;
  [[nodiscard]] auto KnownRevision() const -> Revision;
  // When this node reads the source for the first time. Precondition: started.
  [[nodiscard]] auto FirstReadDue() const -> TimePoint;
  [[nodiscard]] auto ShouldRead(TimePoint now) const -> bool;
  // When the role may change without an event.
  [[nodiscard]] auto RoleCheckDue(bool is_reader, TimePoint now) const
      -> std::optional<TimePoint>;
  auto CollectActions(TimePoint now) -> std::vector<TableDisseminationAction>;

  std::uint32_t shard_count_;
  FirstRead first_read_;
  Random random_;
  std::map<std::uint32_t, Version> in_force_;
  TableHistory history_;
  // Versions whose check is pending.
  std::map<std::uint32_t, Version> candidates_;
  std::map<std::uint32_t, TablePullState> pulls_;
  std::map<std::uint32_t, PullPause> pull_pauses_;
  std::deque<TableDigest> rejected_;
  std::vector<VmId> peers_;
  std::size_t fleet_size_ = 1;
  bool is_elected_ = false;
  bool has_read_ = false;
  TableCurrency currency_;
  bool reads_first_ = true;
  // Position of the first read within its jitter, 0 to 1.
  double first_read_offset_ = 0;
  // Start of the process or end of its last pause.
  std::optional<TimePoint> started_;
  std::map<VmId, TimePoint> sum_mismatch_since_;

  std::optional<ReaderRoleSet> reported_role_;
  std::optional<TimePoint> scheduled_wake_;
  std::vector<TableDisseminationAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_TABLE_DISSEMINATION_H_
