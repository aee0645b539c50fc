#ifndef FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_WIRE_SIZE_H_
#define FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_WIRE_SIZE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "core/overloaded.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Computes the encoded sizes of the messages of the fleet task and about quotas
// without the encoder in src/wire, which decisions must not link.
// tests/unit/wire checks that both agree.
class WireSize {
 public:
  // Returns the encoded size of `envelope`.
  static auto Of(const PeerEnvelope& envelope) -> std::size_t {
    const auto body =
        std::visit(Overloaded{
                       [](const Heartbeat& each) { return Body(each); },
                       [](const IndirectProbe& each) { return Body(each); },
                       [](const MemberUpdate& each) { return Body(each); },
                       [](const TableAnnounce& each) {
                         return Nested(Digest(each.digest));
                       },
                       [](const TablePull& each) {
                         return Number(each.shard) + Number(each.have.value()) +
                                (each.have_hash ? 9 : 0);
                       },
                       [](const TableData& each) {
                         return Nested(Digest(each.digest)) + Text(each.text);
                       },
                       [](const CompressedTable& each) {
                         return Nested(Digest(each.digest)) + Fixed(each.base) +
                                Text(each.bytes);
                       },
                       [](const QuotaRequest& each) { return Body(each); },
                       [](const QuotaGrant& each) { return Body(each); },
                       [](const QuotaRecall& each) { return Body(each); },
                       [](const auto&) { return std::size_t{0}; },
                   },
                   envelope.message);
    // Fields with numbers above 15 have a longer tag.
    const bool has_long_tag =
        std::holds_alternative<QuotaRequest>(envelope.message) ||
        std::holds_alternative<QuotaGrant>(envelope.message) ||
        std::holds_alternative<QuotaRecall>(envelope.message) ||
        std::holds_alternative<CompressedTable>(envelope.message);
    return Text(envelope.sender.value()) +
           Number(envelope.incarnation.value()) + Nested(body) +
           (has_long_tag ? 1 : 0);
  }

 private:
  static auto Varint(std::uint64_t value) -> std::size_t {
    std::size_t bytes = 1;
    while (value >= 128) {
      value /= 128;
      ++bytes;
    }
    return bytes;
  }
  // Fields with default values are not encoded.
  static auto Number(std::uint64_t value) -> std::size_t {
    return value == 0 ? 0 : 1 + Varint(value);
  }
  static auto Text(const std::string& text) -> std::size_t {
    return text.empty() ? 0 : Nested(text.size());
  }
  static auto Nested(std::size_t bytes) -> std::size_t {
    return 1 + Varint(bytes) + bytes;
  }
  static auto Fixed(std::uint64_t value) -> std::size_t {
    return value == 0 ? 0 : 9;
  }
  static auto Digest(const TableDigest& digest) -> std::size_t {
    return Number(digest.shard) + Number(digest.revision.value()) +
           Fixed(digest.hash);
  }
  static auto Body(const Heartbeat& message) -> std::size_t {
    auto bytes = Number(message.sequence) + Number(message.heard_sequence) +
                 (message.leaving ? 2 : 0) + (message.ready ? 2 : 0) +
                 (message.is_chosen ? 2 : 0) + Fixed(message.membership_digest);
    for (const auto& digest : message.tables) {
      bytes += Nested(Digest(digest));
    }
    return bytes;
  }
  static auto Body(const IndirectProbe& message) -> std::size_t {
    return Text(message.subject.value()) + Number(message.incarnation.value()) +
           (message.reply ? 2 : 0) + (message.reachable ? 2 : 0);
  }
  static auto Body(const MemberUpdate& message) -> std::size_t {
    std::size_t bytes = message.wants_answer ? 2 : 0;
    for (const auto& member : message.members) {
      bytes += Nested(Of(member));
    }
    if (!message.bucket_digests.empty()) {
      bytes += Nested(8 * message.bucket_digests.size());
    }
    return bytes;
  }
  static auto Body(const QuotaRequest& message) -> std::size_t {
    auto bytes = Number(message.sequence) + Fixed(message.told_keepers);
    for (const auto& team : message.teams) {
      bytes += Nested(Text(team.team.value()) + Milli(team.demand) +
                      Milli(team.held) + Number(team.waiting));
    }
    return bytes;
  }
  static auto Body(const QuotaGrant& message) -> std::size_t {
    auto bytes = Number(message.sequence) +
                 Number(static_cast<std::uint64_t>(message.duration.count()));
    for (const auto& team : message.teams) {
      bytes += Nested(Text(team.team.value()) + Milli(team.rate) +
                      Number(team.tokens) + Number(team.capacity) +
                      Milli(team.load));
    }
    return bytes;
  }
  static auto Body(const QuotaRecall& message) -> std::size_t {
    std::size_t bytes = 0;
    for (const auto& team : message.teams) {
      bytes += Text(team.value());
    }
    return bytes;
  }
  static auto Milli(double value) -> std::size_t {
    return Number(static_cast<std::uint64_t>(value * 1000));
  }
  static auto Of(const Member& member) -> std::size_t {
    return Text(member.id.value()) + Number(member.incarnation.value()) +
           Text(member.failure_domain.value()) + Text(member.region.value()) +
           Text(member.address) + Text(member.mesh_address) +
           Number(static_cast<std::uint64_t>(member.liveness)) +
           (member.leaving ? 2 : 0) + (member.ready ? 2 : 0) +
           Nested(Of(member.capacity)) + Nested(Of(member.load)) +
           Number(member.version);
  }
  static auto Of(const VmResources& resources) -> std::size_t {
    return Number(resources.processor_millicores) + Number(resources.link_kbps);
  }
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TESTS_UNIT_DECISION_FLEET_WIRE_SIZE_H_
