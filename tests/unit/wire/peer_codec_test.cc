#include "wire/peer_codec.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

auto Decode(const std::string& bytes) -> std::optional<PeerEnvelope> {
  std::optional<PeerEnvelope> envelope;
  CaptureInto(envelope, [&] { return DecodeEnvelope(bytes); });
  return envelope;
}

auto RoundTrip(PeerMessage message) -> PeerMessage {
  const auto bytes = EncodeEnvelope(
      PeerEnvelope{VmId("a"), Incarnation(7), std::move(message)});
  const auto envelope = Decode(bytes);
  cr_assert(envelope.has_value());
  cr_assert(envelope->sender == VmId("a"));
  cr_assert(envelope->incarnation == Incarnation(7));
  return envelope->message;
}

const SourceConfirmation kSource{VmId("r"),         Incarnation(8), 9,
                                 milliseconds(250), true,           StoreEra(2),
                                 milliseconds(6000)};

auto AllMessages() -> std::vector<PeerMessage> {
  const ServiceId service("orders");
  const TargetId target("127.0.0.1:9");
  return {
      Heartbeat{5,
                4,
                true,
                true,
                {{1, Revision(2), 3}},
                6,
                true,
                kSource,
                milliseconds(40)},
      IndirectProbe{VmId("b"), Incarnation(3), true, false},
      MemberUpdate{{Member{.id = VmId("c"), .version = 3}}, true, {1, 2}},
      TableAnnounce{{1, Revision(2), 3, StoreEra(4)}},
      TablePull{1, Revision(2), StoreEra(4), 5},
      TableData{{1, Revision(2), 3}, "service,route\n"},
      LoadReport{service, 1, 2, 3, 4, Duration(5), Duration(6), 7},
      SlotRequest{service, 2, 3, WorkClass::kLong, {LoanId(4)}},
      SlotLoan{LoanId(1), service, 2, {target, target}, Duration(9)},
      SlotReturn{LoanId(1), service, {target}, {{target, 1, 2, 3, 4}}},
      SlotRecall{LoanId(1), service},
      OutcomeReport{
          service, {{target, 1, 2, 3, 4, 5, milliseconds(70)}}, {5, 6}, 7},
      EjectionNotice{service, target, TargetState::kTrial, 4, 0.5, Duration(8)},
      EjectionPermitRequest{service, target},
      EjectionPermit{service, target, true},
      VerifyRequest{service, target},
      VerifyAnswer{service, target, true},
      QuotaRequest{5, {{TeamId("a"), 1.5, 0.25, 3}}, 6},
      QuotaGrant{5, milliseconds(20), {{TeamId("a"), 1.5, 2, 3, 0.5}}},
      QuotaRecall{{TeamId("a"), TeamId("b")}},
      CompressedTable{{1, Revision(2), 3}, 4, "bytes"},
      OutcomeBatch{{OutcomeReport{service, {{target, 1}}, {5, 6}, 7},
                    OutcomeReport{ServiceId("s2"),
                                  {{target, 0, 2}, {TargetId("t2"), 3}},
                                  {},
                                  8}}}};
}

// Guards against a message type that can be encoded but not decoded.
Test(peer_codec, every_kind_survives_a_round_trip) {
  const auto messages = AllMessages();
  cr_assert_eq(messages.size(), std::variant_size_v<PeerMessage>);
  for (const auto& message : messages) {
    cr_assert_eq(RoundTrip(message).index(), message.index());
  }
}

// Guards against fields that are lost in encoding or decoding.
Test(peer_codec, fields_survive_a_round_trip) {
  cr_assert_eq(std::get<LoadReport>(RoundTrip(AllMessages()[6])).sequence, 7U);
  cr_assert_eq(std::get<OutcomeReport>(RoundTrip(AllMessages()[11])).sequence,
               7U);
  const auto loan = std::get<SlotLoan>(RoundTrip(AllMessages()[8]));
  cr_assert(loan.loan == LoanId(1));
  cr_assert_eq(loan.targets.size(), 2);
  cr_assert(loan.duration == Duration(9));
  const auto request = std::get<SlotRequest>(RoundTrip(AllMessages()[7]));
  cr_assert(request.work_class == WorkClass::kLong);
  cr_assert(request.renewed == std::vector<LoanId>{LoanId(4)});
  const auto notice = std::get<EjectionNotice>(RoundTrip(AllMessages()[12]));
  cr_assert(notice.state == TargetState::kTrial);
  cr_assert_eq(notice.version, 4);
  const auto heartbeat = std::get<Heartbeat>(RoundTrip(AllMessages()[0]));
  cr_assert_eq(heartbeat.heard_sequence, 4);
  cr_assert(heartbeat.tables.front() == (TableDigest{1, Revision(2), 3}));
  cr_assert(heartbeat.source == kSource);
  cr_assert(heartbeat.tables_age == milliseconds(40));
  const auto announce = std::get<TableAnnounce>(RoundTrip(AllMessages()[3]));
  cr_assert(announce.digest == (TableDigest{1, Revision(2), 3, StoreEra(4)}));
  const auto pull = std::get<TablePull>(RoundTrip(AllMessages()[4]));
  cr_assert(pull.have_era == StoreEra(4) && pull.have_hash == 5U);
  const auto table = std::get<CompressedTable>(RoundTrip(AllMessages()[20]));
  cr_assert(table.digest == (TableDigest{1, Revision(2), 3}));
  cr_assert(table.base == 4U && table.bytes == "bytes");
  const auto report = std::get<OutcomeReport>(RoundTrip(AllMessages()[11]));
  cr_assert(report.outcomes.front().avoid == milliseconds(70));
  const auto ask = std::get<QuotaRequest>(RoundTrip(AllMessages()[17]));
  cr_assert(ask.sequence == 5U && ask.told_keepers == 6U &&
            ask.teams.front() == (QuotaDemand{TeamId("a"), 1.5, 0.25, 3}));
  const auto grant = std::get<QuotaGrant>(RoundTrip(AllMessages()[18]));
  cr_assert(grant.sequence == 5U && grant.duration == milliseconds(20));
  cr_assert(grant.teams.front() == (QuotaLease{TeamId("a"), 1.5, 2, 3, 0.5}));
  cr_assert_eq(std::get<QuotaRecall>(RoundTrip(AllMessages()[19])).teams.size(),
               2U);
}

// Guards against reports of several services that get mixed up or lost in one
// message.
Test(peer_codec, the_reports_of_a_batch_survive_a_round_trip) {
  const auto batch = std::get<OutcomeBatch>(RoundTrip(AllMessages()[21]));
  cr_assert_eq(batch.reports.size(), 2U);
  const auto& first = batch.reports.front();
  cr_assert_eq(first.outcomes.front().succeeded, 1U);
  cr_assert(first.requests == (RequestCounts{5, 6}));
  cr_assert_eq(first.sequence, 7U);
  const auto& second = batch.reports.back();
  cr_assert(second.service == ServiceId("s2"));
  cr_assert_eq(second.outcomes.size(), 2U);
  cr_assert_eq(second.outcomes.front().failed, 2U);
  cr_assert_eq(second.sequence, 8U);
}

// Guards against batches that go to a VM of an earlier release: it doesn't say
// that it reads them, and a report must not say so by default.
Test(peer_codec, a_report_says_whether_its_sender_reads_batches) {
  OutcomeReport report{ServiceId("s"), {}, {1, 0}, 2};
  cr_assert_not(std::get<OutcomeReport>(RoundTrip(report)).reads_batches);
  report.reads_batches = true;
  cr_assert(std::get<OutcomeReport>(RoundTrip(report)).reads_batches);
}

// Guards against a batch whose reports take unbounded time and memory.
Test(peer_codec, refuses_more_reports_than_a_batch_may_hold) {
  OutcomeBatch batch;
  batch.reports.resize(kMaxReportsPerBatch);
  const auto encode = [&] {
    return EncodeEnvelope(PeerEnvelope{VmId("a"), Incarnation(1), batch});
  };
  cr_assert(Decode(encode()).has_value());
  batch.reports.emplace_back();
  cr_assert_not(Decode(encode()).has_value());
}

// Guards against a message about quotas whose teams take unbounded memory.
Test(peer_codec, refuses_more_teams_than_a_message_may_hold) {
  QuotaRecall recall;
  for (std::size_t i = 0; i <= kMaxQuotaTeamsPerMessage; ++i) {
    recall.teams.emplace_back(std::to_string(i));
  }
  cr_assert_not(
      Decode(EncodeEnvelope(PeerEnvelope{VmId("a"), Incarnation(1), recall}))
          .has_value());
}

// Guards against an enum value of a newer version that is used as an index
// into a table of this one.
Test(peer_codec, refuses_unknown_enumerators) {
  const EjectionNotice notice{.service = ServiceId("s"),
                              .target = TargetId("t"),
                              .state = static_cast<TargetState>(99)};
  const auto bytes =
      EncodeEnvelope(PeerEnvelope{VmId("a"), Incarnation(1), notice});
  cr_assert_not(Decode(bytes).has_value());
}

// Guards against an envelope that cannot be attributed to a peer.
Test(peer_codec, refuses_an_envelope_without_sender_or_body) {
  cr_assert_not(Decode("").has_value());
  cr_assert_not(
      Decode(EncodeEnvelope(PeerEnvelope{VmId(), Incarnation(1), TablePull{}}))
          .has_value());
}

// Guards against a crash on malicious input: each message is truncated, and one
// of its bytes overwritten, at random.
Test(peer_codec, survives_corrupted_bytes) {
  Random random(1);
  for (const auto& message : AllMessages()) {
    const auto bytes =
        EncodeEnvelope(PeerEnvelope{VmId("a"), Incarnation(7), message});
    for (int round = 0; round < 200; ++round) {
      auto corrupted = bytes.substr(0, random.Below(bytes.size() + 1));
      if (!corrupted.empty()) {
        corrupted[random.Below(corrupted.size())] =
            static_cast<char>(random.Next());
      }
      Decode(corrupted);
    }
  }
}

}  // namespace
}  // namespace flamingoyoke
