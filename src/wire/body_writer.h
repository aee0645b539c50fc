#ifndef FLAMINGOYOKE_WIRE_BODY_WRITER_H_
#define FLAMINGOYOKE_WIRE_BODY_WRITER_H_

#include <wire/fleet.pb.h>
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Visitor that encodes a peer message into the body of an envelope, which must
// outlive the visitor. Not thread-safe.
class BodyWriter {
 public:
  explicit BodyWriter(wire::Envelope& envelope) : envelope_(envelope) {}

  auto operator()(const Heartbeat& message) const -> void;
  auto operator()(const IndirectProbe& message) const -> void;
  auto operator()(const MemberUpdate& message) const -> void;
  auto operator()(const TableAnnounce& message) const -> void;
  auto operator()(const TablePull& message) const -> void;
  auto operator()(const TableData& message) const -> void;
  auto operator()(const CompressedTable& message) const -> void;
  auto operator()(const LoadReport& message) const -> void;
  auto operator()(const SlotRequest& message) const -> void;
  auto operator()(const SlotLoan& message) const -> void;
  auto operator()(const SlotReturn& message) const -> void;
  auto operator()(const SlotRecall& message) const -> void;
  auto operator()(const OutcomeReport& message) const -> void;
  auto operator()(const OutcomeBatch& message) const -> void;
  auto operator()(const EjectionNotice& message) const -> void;
  auto operator()(const EjectionPermitRequest& message) const -> void;
  auto operator()(const EjectionPermit& message) const -> void;
  auto operator()(const VerifyRequest& message) const -> void;
  auto operator()(const VerifyAnswer& message) const -> void;
  auto operator()(const QuotaRequest& message) const -> void;
  auto operator()(const QuotaGrant& message) const -> void;
  auto operator()(const QuotaRecall& message) const -> void;

 private:
  wire::Envelope& envelope_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_WIRE_BODY_WRITER_H_
