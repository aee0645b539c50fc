#ifndef FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_H_
#define FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/fleet/member.h"

namespace flamingoyoke {

// Messages between nodes. Each may be lost, repeated, delayed or reordered.
// `wire/` encodes them; decisions see only these types.

// Names one version of one shard of the table.
struct TableDigest {
  std::uint32_t shard = 0;
  Revision revision;
  std::uint64_t hash = 0;

  auto operator==(const TableDigest&) const -> bool = default;
};

struct Heartbeat {
  std::uint64_t sequence = 0;
  // Highest sequence heard from the receiver, 0 if none was heard recently.
  std::uint64_t heard_sequence = 0;
  bool leaving = false;
  bool ready = false;
  std::vector<TableDigest> tables;
  std::uint64_t membership_digest = 0;
  // Whether the sender chose the receiver as a peer and expects heartbeats.
  bool is_chosen = false;
};

// Asks a peer whether it hears `subject`; the peer returns it with `reply`.
struct IndirectProbe {
  VmId subject;
  Incarnation incarnation;
  bool reply = false;
  bool reachable = false;
};

struct MemberUpdate {
  std::vector<Member> members;
  // Whether the receiver should answer with its own members.
  bool wants_answer = false;
  // Digests of the sender's members by bucket; empty if the message starts no
  // comparison. The receiver sends its members of the buckets that differ.
  std::vector<std::uint64_t> bucket_digests = {};
};

struct TableAnnounce {
  TableDigest digest;
};

struct TablePull {
  std::uint32_t shard = 0;
  // Revision that the sender has.
  Revision have;
};

struct TableData {
  TableDigest digest;
  // The table as the operators wrote it.
  std::string text;
};

// Load of the sender in one service.
struct LoadReport {
  ServiceId service;
  std::uint32_t queue_length = 0;
  // Slots of owned targets that the sender does not need now.
  std::uint32_t idle_slots = 0;
  // Outcomes of real work on owned targets since the last report.
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  // Response times of real work on owned targets.
  Duration median_latency = Duration::zero();
  Duration p95_latency = Duration::zero();
};

struct SlotRequest {
  ServiceId service;
  std::uint64_t sequence = 0;
  std::uint32_t wanted = 0;
  // Class of the work that waits; the lender keeps its cap on long work.
  WorkClass work_class = WorkClass::kShort;
  // Loans in use that shall last longer; each is answered by a SlotLoan with
  // the same id.
  std::vector<LoanId> renewed;
};

// Lends one slot of each listed target; a target may be listed repeatedly.
struct SlotLoan {
  LoanId loan;
  ServiceId service;
  // Sequence of the request that this answers.
  std::uint64_t sequence = 0;
  std::vector<TargetId> targets;
  // Counted by the borrower from the moment it sent its request.
  Duration duration = Duration::zero();
};

// Outcomes of real work on one target.
struct TargetOutcomes {
  TargetId target;
  std::uint32_t succeeded = 0;
  std::uint32_t failed = 0;
  std::uint32_t timed_out = 0;
  std::uint32_t slow = 0;
  // Slots of the target that the sender uses now.
  std::uint32_t in_flight = 0;
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

// Requests that ended, with a success for their callers or without one.
struct RequestCounts {
  std::uint32_t served = 0;
  std::uint32_t unserved = 0;

  auto operator==(const RequestCounts&) const -> bool = default;
};

// Outcomes that a borrower saw, sent to the owner, or that a gateway saw, sent
// to the other gateways. Only gateways count requests.
struct OutcomeReport {
  ServiceId service;
  std::vector<TargetOutcomes> outcomes;
  RequestCounts requests = {};
};

enum class TargetState {
  kHealthy,
  kEjected,
  kTrial,        // Re-admitted with one slot.
  kRamping,      // Re-admitted or cold, weight rises.
  kDraining,     // Leaving: gets no new work.
  kUnreachable,  // Reachable for others, not from the sender.
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

// State of a target as its owner decided it.
struct EjectionNotice {
  ServiceId service;
  TargetId target;
  TargetState state = TargetState::kHealthy;
  // Rises with each change that the owner makes.
  std::uint64_t version = 0;
  // How ill the target is; orders the return of targets below the floor.
  double severity = 0;
  // How long the notice holds without renewal.
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

// Asks a home member to probe a target from its failure domain.
struct VerifyRequest {
  ServiceId service;
  TargetId target;
};

struct VerifyAnswer {
  ServiceId service;
  TargetId target;
  bool reachable = false;
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
                                 VerifyAnswer>;

// A message with the process that sent it.
struct PeerEnvelope {
  VmId sender;
  Incarnation incarnation;
  PeerMessage message;
};

// Order to send a message to one peer; an action of several decisions.
struct SendToPeer {
  VmId peer;
  PeerMessage message;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_H_
