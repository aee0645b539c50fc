#ifndef FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_H_
#define FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Messages between nodes. Each may be lost, duplicated, delayed or reordered.
// `wire/` encodes them; decisions only use these types.

// Identifies one version of one shard of the table.
struct TableDigest {
  std::uint32_t shard = 0;
  Revision revision;
  std::uint64_t hash = 0;
  // Era of the store's revision from which `revision` derives. 0 if the
  // operators number the versions, as their numbers outlast the store's
  // revisions.
  StoreEra era = {};

  auto operator==(const TableDigest&) const -> bool = default;
};

// States that a reader followed the published store `age` ago. Ordered by
// incarnation and sequence for each reader.
struct SourceConfirmation {
  VmId reader;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  Duration age = Duration::zero();
  // Whether it is an elected reader, not a substitute for lost ones.
  bool is_elected = false;
  // Era of the store that the reader followed.
  StoreEra era = {};
  // How long the store had been available without an outage by then; absent if
  // the reader doesn't know.
  std::optional<Duration> available_for = {};

  auto operator==(const SourceConfirmation&) const -> bool = default;
};

struct Heartbeat {
  std::uint64_t sequence = 0;
  // Highest sequence received from the receiver; 0 if none was received
  // recently.
  std::uint64_t heard_sequence = 0;
  bool leaving = false;
  bool ready = false;
  std::vector<TableDigest> tables;
  std::uint64_t membership_digest = 0;
  // Whether the sender chose the receiver as a peer and expects its heartbeats.
  bool is_chosen = false;
  // The newest confirmation that the sender knows.
  std::optional<SourceConfirmation> source = {};
  // How long ago `tables` were known to be the newest versions of the source;
  // absent if that is not known.
  std::optional<Duration> tables_age = {};
};

// Asks a peer whether it hears `subject`; the peer sends it back with `reply`
// set.
struct IndirectProbe {
  VmId subject;
  Incarnation incarnation;
  bool reply = false;
  bool reachable = false;
};

struct MemberUpdate {
  std::vector<Member> members;
  // Whether the receiver should reply with its own members.
  bool wants_answer = false;
  // Digests of the sender's members by bucket; empty if no synchronization is
  // requested. The receiver sends its members of the buckets that differ.
  std::vector<std::uint64_t> bucket_digests = {};
};

struct TableAnnounce {
  TableDigest digest;
};

struct TablePull {
  std::uint32_t shard = 0;
  // Revision and era of the version that the sender has.
  Revision have;
  StoreEra have_era = {};
  // Hash of that version, 0 if there is none, if the sender reads
  // CompressedTable. VMs of an earlier release don't set it.
  std::optional<std::uint64_t> have_hash = {};
};

// A version of a table that the receiver of a message has, to which the new
// version is encoded as a difference. Empty if it has none.
struct TableBase {
  std::uint64_t hash = 0;
  std::string text;
};

struct TableData {
  TableDigest digest;
  // The table as written by the operators.
  std::string text;
  // Set if the receiver reads CompressedTable. Not encoded itself.
  std::optional<TableBase> base = {};
};

// A table whose text is compressed, with the text of the version `base` as
// dictionary unless `base` is 0.
struct CompressedTable {
  TableDigest digest;
  std::uint64_t base = 0;
  std::string bytes;
};

// Load of the sender in one service.
struct LoadReport {
  ServiceId service;
  std::uint32_t queue_length = 0;
  // Slots of owned targets that the sender does not currently need.
  std::uint32_t idle_slots = 0;
  // Outcomes of requests to owned targets since the last report; probes are not
  // counted.
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  // Response times of requests to owned targets.
  Duration median_latency = Duration::zero();
  Duration p95_latency = Duration::zero();
  // Number of the report; see ReportOrder.
  std::uint64_t sequence = 0;
};

struct SlotRequest {
  ServiceId service;
  std::uint64_t sequence = 0;
  std::uint32_t wanted = 0;
  // Class of the waiting work; the lender enforces its cap on long work.
  WorkClass work_class = WorkClass::kShort;
  // Loans in use to be extended; each is answered by a SlotLoan with the same
  // id.
  std::vector<LoanId> renewed;
};

// Lends one slot of each listed target; a target may be listed repeatedly.
struct SlotLoan {
  LoanId loan;
  ServiceId service;
  // Sequence of the request that this answers.
  std::uint64_t sequence = 0;
  std::vector<TargetId> targets;
  // Starts when the borrower sent its request.
  Duration duration = Duration::zero();
};

// Outcomes of requests to one target; probes are not counted.
struct TargetOutcomes {
  TargetId target;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  std::uint32_t timed_out = 0;
  std::uint32_t slow = 0;
  // Slots of the target that the sender currently uses.
  std::uint32_t in_flight = 0;
  // How long the sender sends nothing to the target because the target asked
  // for it, or said that it leaves.
  Duration avoid = Duration::zero();
};

struct SlotReturn {
  LoanId loan;
  ServiceId service;
  std::vector<TargetId> targets;
  std::vector<TargetOutcomes> outcomes;
};

struct SlotRecall {
  LoanId loan;
  ServiceId service;
};

// Number of completed requests, by whether their callers got a success.
struct RequestCounts {
  std::uint32_t served = 0;
  std::uint32_t unserved = 0;

  auto operator==(const RequestCounts&) const -> bool = default;
};

// Outcomes that a borrower reports to the owner, or a gateway to the other
// gateways. Only gateways fill in `requests`.
struct OutcomeReport {
  ServiceId service;
  std::vector<TargetOutcomes> outcomes;
  RequestCounts requests = {};
  // Number of the report; see ReportOrder.
  std::uint64_t sequence = 0;
  // Whether the sender reads OutcomeBatch. VMs of an earlier release don't, and
  // never set it.
  bool reads_batches = false;
};

// Maximum number of reports in one OutcomeBatch.
inline constexpr std::size_t kMaxReportsPerBatch = 64;

// Reports of several services, in the order in which they were made. Sent only
// to peers that are known to read it.
struct OutcomeBatch {
  std::vector<OutcomeReport> reports;
};

enum class TargetState {
  kHealthy,
  kEjected,
  kTrial,        // Re-admitted with one slot.
  kRamping,      // Re-admitted or cold; its weight increases.
  kDraining,     // Leaving; gets no new work.
  kUnreachable,  // Reachable from other nodes, not from the sender.
};

template <>
struct EnumNames<TargetState> {
  static constexpr auto kTable = std::to_array<NameEntry<TargetState>>({
      {TargetState::kHealthy, "healthy"},
      {TargetState::kEjected, "ejected"},
      {TargetState::kTrial, "trial"},
      {TargetState::kRamping, "ramping"},
      {TargetState::kDraining, "draining"},
      {TargetState::kUnreachable, "unreachable"},
  });
};
static_assert(IsDense<TargetState>());

// State of a target as decided by its owner.
struct EjectionNotice {
  ServiceId service;
  TargetId target;
  TargetState state = TargetState::kHealthy;
  // Incremented with each change by the owner.
  std::uint64_t version = 0;
  // How severely the target is failing; determines the order of re-admission
  // while the share of healthy targets is below the floor.
  double severity = 0;
  // Validity of the notice unless renewed.
  Duration duration = Duration::zero();
};

struct EjectionPermitRequest {
  ServiceId service;
  TargetId target;
};

struct EjectionPermit {
  ServiceId service;
  TargetId target;
  bool granted = false;
};

// Asks a member of the home set to probe a target from its failure domain.
struct VerifyRequest {
  ServiceId service;
  TargetId target;
};

struct VerifyAnswer {
  ServiceId service;
  TargetId target;
  bool reachable = false;
};

// Maximum number of teams in one message about quotas. With names of 20 bytes
// a message stays below 3 KB.
inline constexpr std::size_t kMaxQuotaTeamsPerMessage = 64;

// What a gateway needs of the limit of one team. Rates are in requests per
// second.
struct QuotaDemand {
  TeamId team;
  // Rate that the gateway could use; zero returns its lease.
  double demand = 0;
  // Rate leased from another keeper that the gateway gives up once this one
  // answers.
  double held = 0;
  // Requests that wait for tokens at the moment.
  std::uint32_t waiting = 0;

  auto operator==(const QuotaDemand&) const -> bool = default;
};

// Asks a keeper of quotas for leases, or returns them.
struct QuotaRequest {
  std::uint64_t sequence = 0;
  std::vector<QuotaDemand> teams;
  // KeepersHash of the sender's view if the receiver knows with this message
  // all that the sender has leased of the receiver's teams; 0 otherwise.
  std::uint64_t told_keepers = 0;
};

// Part of the limit of one team that a gateway may use.
struct QuotaLease {
  TeamId team;
  double rate = 0;
  // Requests that may run in addition to the rate.
  std::uint32_t tokens = 0;
  // Unused requests that the gateway may save up.
  std::uint32_t capacity = 0;
  // Sum of the rates that all gateways ask for, as a share of the limit.
  double load = 0;

  auto operator==(const QuotaLease&) const -> bool = default;
};

// Answers one QuotaRequest.
struct QuotaGrant {
  // Sequence of the request that this answers.
  std::uint64_t sequence = 0;
  // Starts when the gateway sent its request.
  Duration duration = Duration::zero();
  std::vector<QuotaLease> teams;
};

// Asks a gateway to request its leases of these teams again at once, since
// another gateway needs a part.
struct QuotaRecall {
  std::vector<TeamId> teams;
};

using PeerMessage = std::variant<Heartbeat,
                                 IndirectProbe,
                                 MemberUpdate,
                                 TableAnnounce,
                                 TablePull,
                                 TableData,
                                 LoadReport,
                                 SlotRequest,
                                 SlotLoan,
                                 SlotReturn,
                                 SlotRecall,
                                 OutcomeReport,
                                 EjectionNotice,
                                 EjectionPermitRequest,
                                 EjectionPermit,
                                 VerifyRequest,
                                 VerifyAnswer,
                                 QuotaRequest,
                                 QuotaGrant,
                                 QuotaRecall,
                                 CompressedTable,
                                 OutcomeBatch>;

// A message and the process that sent it.
struct PeerEnvelope {
  VmId sender;
  Incarnation incarnation;
  PeerMessage message;
};

// Action of several decisions: send a message to one peer.
struct SendToPeer {
  VmId peer;
  PeerMessage message;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_H_
