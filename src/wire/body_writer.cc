#include "wire/body_writer.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace flamingoyoke {
namespace {

auto WriteDigest(const TableDigest& digest, wire::TableDigest* encoded)
    -> void {
  encoded->set_shard(digest.shard);
  encoded->set_revision(digest.revision.value());
  encoded->set_hash(digest.hash);
  encoded->set_era(digest.era.value());
}

auto WriteResources(const VmResources& resources, wire::VmResources* encoded)
    -> void {
  encoded->set_processor_millicores(resources.processor_millicores);
  encoded->set_link_kbps(resources.link_kbps);
}

auto WriteMember(const Member& member, wire::Member* encoded) -> void {
  encoded->set_id(member.id.value());
  encoded->set_incarnation(member.incarnation.value());
  encoded->set_failure_domain(member.failure_domain.value());
  encoded->set_region(member.region.value());
  encoded->set_address(member.address);
  encoded->set_mesh_address(member.mesh_address);
  encoded->set_liveness(static_cast<std::uint32_t>(member.liveness));
  encoded->set_leaving(member.leaving);
  encoded->set_ready(member.ready);
  encoded->set_lost_source(member.lost_source);
  WriteResources(member.capacity, encoded->mutable_capacity());
  WriteResources(member.load, encoded->mutable_load());
  encoded->set_version(member.version);
}

auto ToWireMilliseconds(Duration duration) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      ToMilliseconds(duration), 0, std::numeric_limits<std::uint32_t>::max()));
}

// Rates are sent in thousandths, so that small ones take few bytes.
auto ToMilli(double value) -> std::uint64_t {
  constexpr double kMaxMilli = 1e15;
  return static_cast<std::uint64_t>(
      std::clamp(std::floor(value * 1000), 0.0, kMaxMilli));
}

auto WriteOutcomes(const TargetOutcomes& outcomes,
                   wire::TargetOutcomes* encoded) -> void {
  encoded->set_target(outcomes.target.value());
  encoded->set_succeeded(outcomes.succeeded);
  encoded->set_failed(outcomes.failed);
  encoded->set_timed_out(outcomes.timed_out);
  encoded->set_slow(outcomes.slow);
  encoded->set_in_flight(outcomes.in_flight);
  encoded->set_avoid_ms(ToWireMilliseconds(outcomes.avoid));
}

auto WriteReport(const OutcomeReport& report, wire::OutcomeReport* encoded)
    -> void {
  encoded->set_service(report.service.value());
  encoded->set_requests_served(report.requests.served);
  encoded->set_requests_unserved(report.requests.unserved);
  encoded->set_sequence(report.sequence);
  encoded->set_reads_batches(report.reads_batches);
  for (const auto& outcomes : report.outcomes) {
    WriteOutcomes(outcomes, encoded->add_outcomes());
  }
}

// Writes the service and target fields that several messages share.
template <typename Message, typename Encoded>
auto WriteTarget(const Message& message, Encoded* encoded) -> void {
  encoded->set_service(message.service.value());
  encoded->set_target(message.target.value());
}

auto ToMicroseconds(Duration duration) -> std::uint64_t {
  return duration.count() > 0 ? static_cast<std::uint64_t>(duration.count())
                              : 0;
}

}  // namespace

auto BodyWriter::operator()(const Heartbeat& message) const -> void {
  auto* encoded = envelope_.mutable_heartbeat();
  encoded->set_sequence(message.sequence);
  encoded->set_heard_sequence(message.heard_sequence);
  encoded->set_leaving(message.leaving);
  encoded->set_ready(message.ready);
  for (const auto& digest : message.tables) {
    WriteDigest(digest, encoded->add_tables());
  }
  encoded->set_membership_digest(message.membership_digest);
  encoded->set_is_chosen(message.is_chosen);
  if (message.source) {
    auto* source = encoded->mutable_source();
    source->set_reader(message.source->reader.value());
    source->set_incarnation(message.source->incarnation.value());
    source->set_sequence(message.source->sequence);
    source->set_age_ms(ToWireMilliseconds(message.source->age));
    source->set_is_elected(message.source->is_elected);
    source->set_era(message.source->era.value());
    if (message.source->available_for) {
      source->set_available_ms(
          ToWireMilliseconds(*message.source->available_for));
    }
  }
  if (message.tables_age) {
    encoded->set_tables_age_ms(ToWireMilliseconds(*message.tables_age));
  }
}

auto BodyWriter::operator()(const IndirectProbe& message) const -> void {
  auto* encoded = envelope_.mutable_indirect_probe();
  encoded->set_subject(message.subject.value());
  encoded->set_incarnation(message.incarnation.value());
  encoded->set_reply(message.reply);
  encoded->set_reachable(message.reachable);
}

auto BodyWriter::operator()(const MemberUpdate& message) const -> void {
  auto* encoded = envelope_.mutable_member_update();
  for (const auto& member : message.members) {
    WriteMember(member, encoded->add_members());
  }
  encoded->set_wants_answer(message.wants_answer);
  encoded->mutable_bucket_digests()->Add(message.bucket_digests.begin(),
                                         message.bucket_digests.end());
}

auto BodyWriter::operator()(const TableAnnounce& message) const -> void {
  WriteDigest(message.digest,
              envelope_.mutable_table_announce()->mutable_digest());
}

auto BodyWriter::operator()(const TablePull& message) const -> void {
  auto* encoded = envelope_.mutable_table_pull();
  encoded->set_shard(message.shard);
  encoded->set_have(message.have.value());
  encoded->set_have_era(message.have_era.value());
  if (message.have_hash) {
    encoded->set_have_hash(*message.have_hash);
  }
}

auto BodyWriter::operator()(const TableData& message) const -> void {
  auto* encoded = envelope_.mutable_table_data();
  WriteDigest(message.digest, encoded->mutable_digest());
  encoded->set_text(message.text);
}

auto BodyWriter::operator()(const CompressedTable& message) const -> void {
  auto* encoded = envelope_.mutable_compressed_table();
  WriteDigest(message.digest, encoded->mutable_digest());
  encoded->set_base(message.base);
  encoded->set_bytes(message.bytes);
}

auto BodyWriter::operator()(const LoadReport& message) const -> void {
  auto* encoded = envelope_.mutable_load_report();
  encoded->set_service(message.service.value());
  encoded->set_queue_length(message.queue_length);
  encoded->set_idle_slots(message.idle_slots);
  encoded->set_succeeded(message.succeeded);
  encoded->set_failed(message.failed);
  encoded->set_median_latency_us(ToMicroseconds(message.median_latency));
  encoded->set_p95_latency_us(ToMicroseconds(message.p95_latency));
  encoded->set_sequence(message.sequence);
}

auto BodyWriter::operator()(const SlotRequest& message) const -> void {
  auto* encoded = envelope_.mutable_slot_request();
  encoded->set_service(message.service.value());
  encoded->set_sequence(message.sequence);
  encoded->set_wanted(message.wanted);
  encoded->set_work_class(static_cast<std::uint32_t>(message.work_class));
  for (const auto loan : message.renewed) {
    encoded->add_renewed(loan.value());
  }
}

auto BodyWriter::operator()(const SlotLoan& message) const -> void {
  auto* encoded = envelope_.mutable_slot_loan();
  encoded->set_loan(message.loan.value());
  encoded->set_service(message.service.value());
  encoded->set_sequence(message.sequence);
  for (const auto& target : message.targets) {
    encoded->add_targets(target.value());
  }
  encoded->set_duration_us(ToMicroseconds(message.duration));
}

auto BodyWriter::operator()(const SlotReturn& message) const -> void {
  auto* encoded = envelope_.mutable_slot_return();
  encoded->set_loan(message.loan.value());
  encoded->set_service(message.service.value());
  for (const auto& target : message.targets) {
    encoded->add_targets(target.value());
  }
  for (const auto& outcomes : message.outcomes) {
    WriteOutcomes(outcomes, encoded->add_outcomes());
  }
}

auto BodyWriter::operator()(const SlotRecall& message) const -> void {
  auto* encoded = envelope_.mutable_slot_recall();
  encoded->set_loan(message.loan.value());
  encoded->set_service(message.service.value());
}

auto BodyWriter::operator()(const OutcomeReport& message) const -> void {
  WriteReport(message, envelope_.mutable_outcome_report());
}

auto BodyWriter::operator()(const OutcomeBatch& message) const -> void {
  auto* encoded = envelope_.mutable_outcome_batch();
  for (const auto& report : message.reports) {
    WriteReport(report, encoded->add_reports());
  }
}

auto BodyWriter::operator()(const EjectionNotice& message) const -> void {
  auto* encoded = envelope_.mutable_ejection_notice();
  WriteTarget(message, encoded);
  encoded->set_state(static_cast<std::uint32_t>(message.state));
  encoded->set_version(message.version);
  encoded->set_severity(message.severity);
  encoded->set_duration_us(ToMicroseconds(message.duration));
}

auto BodyWriter::operator()(const EjectionPermitRequest& message) const
    -> void {
  WriteTarget(message, envelope_.mutable_ejection_permit_request());
}

auto BodyWriter::operator()(const EjectionPermit& message) const -> void {
  auto* encoded = envelope_.mutable_ejection_permit();
  WriteTarget(message, encoded);
  encoded->set_granted(message.granted);
}

auto BodyWriter::operator()(const VerifyRequest& message) const -> void {
  WriteTarget(message, envelope_.mutable_verify_request());
}

auto BodyWriter::operator()(const VerifyAnswer& message) const -> void {
  auto* encoded = envelope_.mutable_verify_answer();
  WriteTarget(message, encoded);
  encoded->set_reachable(message.reachable);
}

auto BodyWriter::operator()(const QuotaRequest& message) const -> void {
  auto* encoded = envelope_.mutable_quota_request();
  encoded->set_sequence(message.sequence);
  for (const auto& demand : message.teams) {
    auto* team = encoded->add_teams();
    team->set_team(demand.team.value());
    team->set_demand_milli(ToMilli(demand.demand));
    team->set_held_milli(ToMilli(demand.held));
    team->set_waiting(demand.waiting);
  }
  encoded->set_told_keepers(message.told_keepers);
}

auto BodyWriter::operator()(const QuotaGrant& message) const -> void {
  auto* encoded = envelope_.mutable_quota_grant();
  encoded->set_sequence(message.sequence);
  encoded->set_duration_us(ToMicroseconds(message.duration));
  for (const auto& lease : message.teams) {
    auto* team = encoded->add_teams();
    team->set_team(lease.team.value());
    team->set_rate_milli(ToMilli(lease.rate));
    team->set_tokens(lease.tokens);
    team->set_capacity(lease.capacity);
    team->set_load_milli(ToMilli(lease.load));
  }
}

auto BodyWriter::operator()(const QuotaRecall& message) const -> void {
  auto* encoded = envelope_.mutable_quota_recall();
  for (const auto& team : message.teams) {
    encoded->add_teams(team.value());
  }
}

}  // namespace flamingoyoke
