#include "wire/body_reader.h"

#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "core/name_table.h"

namespace flamingoyoke {
namespace {

// No valid duration exceeds a day; longer ones could overflow time arithmetic.
constexpr std::uint64_t kMaxDurationUs = 24ULL * 3600 * 1000 * 1000;

template <typename E>
auto ReadEnum(std::uint32_t value) -> Result<E> {
  if (value >= kEnumSize<E>) {
    return Fail(ErrorKind::kMalformedMessage,
                "unknown enum value " + std::to_string(value));
  }
  return static_cast<E>(value);
}

auto ReadDuration(std::uint64_t microseconds) -> Result<Duration> {
  if (microseconds > kMaxDurationUs) {
    return Fail(
        ErrorKind::kMalformedMessage,
        "duration of " + std::to_string(microseconds) + " us exceeds one day");
  }
  return Duration(microseconds);
}

auto ReadDigest(const wire::TableDigest& encoded) -> TableDigest {
  return {encoded.shard(), Revision(encoded.revision()), encoded.hash(),
          StoreEra(encoded.era())};
}

auto ReadResources(const wire::VmResources& encoded) -> VmResources {
  return {encoded.processor_millicores(), encoded.link_kbps()};
}

auto ReadMember(const wire::Member& encoded) -> Result<Member> {
  if (encoded.id().empty()) {
    return Fail(ErrorKind::kMalformedMessage, "member without an id");
  }
  BOOST_LEAF_AUTO(liveness, ReadEnum<Liveness>(encoded.liveness()));
  return Member{.id = VmId(encoded.id()),
                .incarnation = Incarnation(encoded.incarnation()),
                .failure_domain = FailureDomainId(encoded.failure_domain()),
                .region = RegionId(encoded.region()),
                .address = encoded.address(),
                .mesh_address = encoded.mesh_address(),
                .liveness = liveness,
                .leaving = encoded.leaving(),
                .ready = encoded.ready(),
                .lost_source = encoded.lost_source(),
                .capacity = ReadResources(encoded.capacity()),
                .load = ReadResources(encoded.load()),
                .version = encoded.version()};
}

template <typename Encoded>
auto ReadTargets(const Encoded& encoded) -> std::vector<TargetId> {
  std::vector<TargetId> targets;
  targets.reserve(static_cast<std::size_t>(encoded.targets_size()));
  for (const auto& target : encoded.targets()) {
    targets.emplace_back(target);
  }
  return targets;
}

template <typename Encoded>
auto ReadOutcomes(const Encoded& encoded) -> std::vector<TargetOutcomes> {
  std::vector<TargetOutcomes> all;
  all.reserve(static_cast<std::size_t>(encoded.outcomes_size()));
  for (const auto& outcomes : encoded.outcomes()) {
    all.push_back({TargetId(outcomes.target()), outcomes.succeeded(),
                   outcomes.failed(), outcomes.timed_out(), outcomes.slow(),
                   outcomes.in_flight(),
                   std::chrono::milliseconds(outcomes.avoid_ms())});
  }
  return all;
}

auto Read(const wire::Heartbeat& encoded) -> Result<PeerMessage> {
  Heartbeat message{.sequence = encoded.sequence(),
                    .heard_sequence = encoded.heard_sequence(),
                    .leaving = encoded.leaving(),
                    .ready = encoded.ready(),
                    .tables = {},
                    .membership_digest = encoded.membership_digest(),
                    .is_chosen = encoded.is_chosen()};
  for (const auto& digest : encoded.tables()) {
    message.tables.push_back(ReadDigest(digest));
  }
  if (encoded.has_source()) {
    const auto& source = encoded.source();
    message.source = SourceConfirmation{
        VmId(source.reader()), Incarnation(source.incarnation()),
        source.sequence(),     std::chrono::milliseconds(source.age_ms()),
        source.is_elected(),   StoreEra(source.era())};
    if (source.has_available_ms()) {
      message.source->available_for =
          std::chrono::milliseconds(source.available_ms());
    }
  }
  if (encoded.has_tables_age_ms()) {
    message.tables_age = std::chrono::milliseconds(encoded.tables_age_ms());
  }
  return message;
}

auto Read(const wire::IndirectProbe& encoded) -> Result<PeerMessage> {
  return IndirectProbe{VmId(encoded.subject()),
                       Incarnation(encoded.incarnation()), encoded.reply(),
                       encoded.reachable()};
}

auto Read(const wire::MemberUpdate& encoded) -> Result<PeerMessage> {
  MemberUpdate message;
  message.wants_answer = encoded.wants_answer();
  for (const auto& member : encoded.members()) {
    BOOST_LEAF_AUTO(read, ReadMember(member));
    message.members.push_back(std::move(read));
  }
  message.bucket_digests.assign(encoded.bucket_digests().begin(),
                                encoded.bucket_digests().end());
  return message;
}

auto Read(const wire::TableAnnounce& encoded) -> Result<PeerMessage> {
  return TableAnnounce{ReadDigest(encoded.digest())};
}

auto Read(const wire::TablePull& encoded) -> Result<PeerMessage> {
  TablePull message{encoded.shard(), Revision(encoded.have()),
                    StoreEra(encoded.have_era())};
  if (encoded.has_have_hash()) {
    message.have_hash = encoded.have_hash();
  }
  return message;
}

auto Read(const wire::TableData& encoded) -> Result<PeerMessage> {
  return TableData{ReadDigest(encoded.digest()), encoded.text()};
}

auto Read(const wire::CompressedTable& encoded) -> Result<PeerMessage> {
  return CompressedTable{ReadDigest(encoded.digest()), encoded.base(),
                         encoded.bytes()};
}

auto Read(const wire::LoadReport& encoded) -> Result<PeerMessage> {
  BOOST_LEAF_AUTO(median, ReadDuration(encoded.median_latency_us()));
  BOOST_LEAF_AUTO(p95, ReadDuration(encoded.p95_latency_us()));
  return LoadReport{.service = ServiceId(encoded.service()),
                    .queue_length = encoded.queue_length(),
                    .idle_slots = encoded.idle_slots(),
                    .succeeded = encoded.succeeded(),
                    .failed = encoded.failed(),
                    .median_latency = median,
                    .p95_latency = p95,
                    .sequence = encoded.sequence()};
}

auto Read(const wire::SlotRequest& encoded) -> Result<PeerMessage> {
  BOOST_LEAF_AUTO(work_class, ReadEnum<WorkClass>(encoded.work_class()));
  SlotRequest request{ServiceId(encoded.service()), encoded.sequence(),
                      encoded.wanted(), work_class};
  request.renewed.reserve(static_cast<std::size_t>(encoded.renewed_size()));
  for (const auto loan : encoded.renewed()) {
    request.renewed.emplace_back(loan);
  }
  return request;
}

auto Read(const wire::SlotLoan& encoded) -> Result<PeerMessage> {
  BOOST_LEAF_AUTO(duration, ReadDuration(encoded.duration_us()));
  return SlotLoan{LoanId(encoded.loan()), ServiceId(encoded.service()),
                  encoded.sequence(), ReadTargets(encoded), duration};
}

auto Read(const wire::SlotReturn& encoded) -> Result<PeerMessage> {
  return SlotReturn{LoanId(encoded.loan()), ServiceId(encoded.service()),
                    ReadTargets(encoded), ReadOutcomes(encoded)};
}

auto Read(const wire::SlotRecall& encoded) -> Result<PeerMessage> {
  return SlotRecall{LoanId(encoded.loan()), ServiceId(encoded.service())};
}

auto ReadReport(const wire::OutcomeReport& encoded) -> OutcomeReport {
  return {ServiceId(encoded.service()),
          ReadOutcomes(encoded),
          {encoded.requests_served(), encoded.requests_unserved()},
          encoded.sequence(),
          encoded.reads_batches()};
}

auto Read(const wire::OutcomeReport& encoded) -> Result<PeerMessage> {
  return ReadReport(encoded);
}

auto Read(const wire::OutcomeBatch& encoded) -> Result<PeerMessage> {
  const auto count = static_cast<std::size_t>(encoded.reports_size());
  if (count > kMaxReportsPerBatch) {
    return Fail(ErrorKind::kMalformedMessage,
                "batch of " + std::to_string(count) + " reports");
  }
  OutcomeBatch batch;
  batch.reports.reserve(count);
  for (const auto& report : encoded.reports()) {
    batch.reports.push_back(ReadReport(report));
  }
  return batch;
}

auto FromMilli(std::uint64_t value) -> double {
  return static_cast<double>(value) / 1000;
}

auto CheckQuotaTeams(int count) -> Result<void> {
  if (static_cast<std::size_t>(count) > kMaxQuotaTeamsPerMessage) {
    return Fail(ErrorKind::kMalformedMessage,
                "quota message with " + std::to_string(count) + " teams");
  }
  return {};
}

auto Read(const wire::QuotaRequest& encoded) -> Result<PeerMessage> {
  BOOST_LEAF_CHECK(CheckQuotaTeams(encoded.teams_size()));
  QuotaRequest request{encoded.sequence(), {}, encoded.told_keepers()};
  for (const auto& team : encoded.teams()) {
    request.teams.push_back({TeamId(team.team()),
                             FromMilli(team.demand_milli()),
                             FromMilli(team.held_milli()), team.waiting()});
  }
  return request;
}

auto Read(const wire::QuotaGrant& encoded) -> Result<PeerMessage> {
  BOOST_LEAF_CHECK(CheckQuotaTeams(encoded.teams_size()));
  BOOST_LEAF_AUTO(duration, ReadDuration(encoded.duration_us()));
  QuotaGrant grant{encoded.sequence(), duration, {}};
  for (const auto& team : encoded.teams()) {
    grant.teams.push_back({TeamId(team.team()), FromMilli(team.rate_milli()),
                           team.tokens(), team.capacity(),
                           FromMilli(team.load_milli())});
  }
  return grant;
}

auto Read(const wire::QuotaRecall& encoded) -> Result<PeerMessage> {
  BOOST_LEAF_CHECK(CheckQuotaTeams(encoded.teams_size()));
  QuotaRecall recall;
  for (const auto& team : encoded.teams()) {
    recall.teams.emplace_back(team);
  }
  return recall;
}

auto Read(const wire::EjectionNotice& encoded) -> Result<PeerMessage> {
  BOOST_LEAF_AUTO(state, ReadEnum<TargetState>(encoded.state()));
  BOOST_LEAF_AUTO(duration, ReadDuration(encoded.duration_us()));
  if (!std::isfinite(encoded.severity())) {
    return Fail(ErrorKind::kMalformedMessage, "severity is not finite");
  }
  return EjectionNotice{.service = ServiceId(encoded.service()),
                        .target = TargetId(encoded.target()),
                        .state = state,
                        .version = encoded.version(),
                        .severity = encoded.severity(),
                        .duration = duration};
}

auto Read(const wire::EjectionPermitRequest& encoded) -> Result<PeerMessage> {
  return EjectionPermitRequest{ServiceId(encoded.service()),
                               TargetId(encoded.target())};
}

auto Read(const wire::EjectionPermit& encoded) -> Result<PeerMessage> {
  return EjectionPermit{ServiceId(encoded.service()),
                        TargetId(encoded.target()), encoded.granted()};
}

auto Read(const wire::VerifyRequest& encoded) -> Result<PeerMessage> {
  return VerifyRequest{ServiceId(encoded.service()),
                       TargetId(encoded.target())};
}

auto Read(const wire::VerifyAnswer& encoded) -> Result<PeerMessage> {
  return VerifyAnswer{ServiceId(encoded.service()), TargetId(encoded.target()),
                      encoded.reachable()};
}

}  // namespace

auto ReadBody(const wire::Envelope& envelope) -> Result<PeerMessage> {
  using Case = wire::Envelope::BodyCase;
  switch (envelope.body_case()) {
    case Case::kHeartbeat:
      return Read(envelope.heartbeat());
    case Case::kIndirectProbe:
      return Read(envelope.indirect_probe());
    case Case::kMemberUpdate:
      return Read(envelope.member_update());
    case Case::kTableAnnounce:
      return Read(envelope.table_announce());
    case Case::kTablePull:
      return Read(envelope.table_pull());
    case Case::kTableData:
      return Read(envelope.table_data());
    case Case::kLoadReport:
      return Read(envelope.load_report());
    case Case::kSlotRequest:
      return Read(envelope.slot_request());
    case Case::kSlotLoan:
      return Read(envelope.slot_loan());
    case Case::kSlotReturn:
      return Read(envelope.slot_return());
    case Case::kSlotRecall:
      return Read(envelope.slot_recall());
    case Case::kOutcomeReport:
      return Read(envelope.outcome_report());
    case Case::kEjectionNotice:
      return Read(envelope.ejection_notice());
    case Case::kEjectionPermitRequest:
      return Read(envelope.ejection_permit_request());
    case Case::kEjectionPermit:
      return Read(envelope.ejection_permit());
    case Case::kVerifyRequest:
      return Read(envelope.verify_request());
    case Case::kVerifyAnswer:
      return Read(envelope.verify_answer());
    case Case::kQuotaRequest:
      return Read(envelope.quota_request());
    case Case::kQuotaGrant:
      return Read(envelope.quota_grant());
    case Case::kQuotaRecall:
      return Read(envelope.quota_recall());
    case Case::kCompressedTable:
      return Read(envelope.compressed_table());
    case Case::kOutcomeBatch:
      return Read(envelope.outcome_batch());
    case Case::BODY_NOT_SET:
      break;
  }
  return Fail(ErrorKind::kMalformedMessage, "envelope with no or unknown body");
}

}  // namespace flamingoyoke
