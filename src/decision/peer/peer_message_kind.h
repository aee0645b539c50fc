#ifndef FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_KIND_H_
#define FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_KIND_H_

#include <array>
#include <variant>

#include "core/name_table.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// The alternatives of PeerMessage, in the same order.
enum class PeerMessageKind {
  kHeartbeat,
  kIndirectProbe,
  kMemberUpdate,
  kTableAnnounce,
  kTablePull,
  kTableData,
  kLoadReport,
  kSlotRequest,
  kSlotLoan,
  kSlotReturn,
  kSlotRecall,
  kOutcomeReport,
  kEjectionNotice,
  kEjectionPermitRequest,
  kEjectionPermit,
  kVerifyRequest,
  kVerifyAnswer,
  kQuotaRequest,
  kQuotaGrant,
  kQuotaRecall,
  kCompressedTable,
  kOutcomeBatch,
};

template <>
struct EnumNames<PeerMessageKind> {
  static constexpr auto kTable = std::to_array<NameEntry<PeerMessageKind>>({
      {PeerMessageKind::kHeartbeat, "heartbeat"},
      {PeerMessageKind::kIndirectProbe, "indirect-probe"},
      {PeerMessageKind::kMemberUpdate, "member-update"},
      {PeerMessageKind::kTableAnnounce, "table-announce"},
      {PeerMessageKind::kTablePull, "table-pull"},
      {PeerMessageKind::kTableData, "table-data"},
      {PeerMessageKind::kLoadReport, "load-report"},
      {PeerMessageKind::kSlotRequest, "slot-request"},
      {PeerMessageKind::kSlotLoan, "slot-loan"},
      {PeerMessageKind::kSlotReturn, "slot-return"},
      {PeerMessageKind::kSlotRecall, "slot-recall"},
      {PeerMessageKind::kOutcomeReport, "outcome-report"},
      {PeerMessageKind::kEjectionNotice, "ejection-notice"},
      {PeerMessageKind::kEjectionPermitRequest, "ejection-permit-request"},
      {PeerMessageKind::kEjectionPermit, "ejection-permit"},
      {PeerMessageKind::kVerifyRequest, "verify-request"},
      {PeerMessageKind::kVerifyAnswer, "verify-answer"},
      {PeerMessageKind::kQuotaRequest, "quota-request"},
      {PeerMessageKind::kQuotaGrant, "quota-grant"},
      {PeerMessageKind::kQuotaRecall, "quota-recall"},
      {PeerMessageKind::kCompressedTable, "compressed-table"},
      {PeerMessageKind::kOutcomeBatch, "outcome-batch"},
  });
};
static_assert(IsDense<PeerMessageKind>());
static_assert(kEnumSize<PeerMessageKind> == std::variant_size_v<PeerMessage>);

// Thread-safe.
inline auto KindOf(const PeerMessage& message) -> PeerMessageKind {
  return static_cast<PeerMessageKind>(message.index());
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PEER_PEER_MESSAGE_KIND_H_
