#include "decision/gateway/report_batcher.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "decision/gateway/pool_dispatcher.h"
#include "unit/decision/gateway/pool_fixture.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const VmId kPeer("b");

auto MakeReport(std::size_t service, std::size_t outcomes = 1)
    -> OutcomeReport {
  OutcomeReport report{ServiceId("s" + std::to_string(service))};
  report.outcomes.resize(outcomes);
  return report;
}

template <typename Action, typename Variant>
auto ActionsOf(const std::vector<Variant>& actions) -> std::vector<Action> {
  std::vector<Action> found;
  for (const auto& action : actions) {
    if (const auto* typed = std::get_if<Action>(&action)) {
      found.push_back(*typed);
    }
  }
  return found;
}

// Returns the messages to kPeer for the reports of `services` services.
auto SendReports(ReportBatcher& batcher,
                 TimePoint now,
                 std::size_t services,
                 std::size_t outcomes = 1) -> std::vector<SendToPeer> {
  for (std::size_t i = 0; i < services; ++i) {
    batcher.OnEvent(BatchReportMade{kPeer, MakeReport(i, outcomes)}, now);
  }
  return ActionsOf<SendToPeer>(batcher.OnEvent(BatchDue{}, now));
}

// The services of one gateway, each with targets that another gateway owns. All
// run requests that end with errors now and then. Virtual time.
class Services {
 public:
  static constexpr std::size_t kCount = 6;
  static constexpr std::size_t kPeers = 12;
  // Requests per second of each service.
  static constexpr double kRate = 28;
  static constexpr Duration kLength = seconds(20);

  struct Result {
    std::size_t messages = 0;
    std::size_t reports = 0;
    std::size_t failures = 0;
    // Longest time from the end of a failed request until its report is sent.
    Duration longest_wait = Duration::zero();
  };

  // With `is_batched`, the reports of all services go through a batcher whose
  // peers read batches.
  explicit Services(bool is_batched) : is_batched_(is_batched), timeline_(5) {
    std::vector<VmId> peers;
    for (std::size_t i = 0; i < kPeers; ++i) {
      peers.emplace_back("g" + std::to_string(i));
    }
    peers_ = peers;
    for (std::size_t i = 0; i < kCount; ++i) {
      pools_.emplace_back(ServiceId("s" + std::to_string(i)),
                          Random(timeline_.random().Next()), PoolLimits{});
      failed_at_.emplace_back();
      Handle(i, PoolConfigured{.targets = MakeTargets(4, 4),
                               .peers = peers,
                               .gateways = kPeers + 1,
                               .self = VmId("self"),
                               .owners = {{peers.front(), {}}}});
    }
    for (std::size_t i = 0; i < kCount; ++i) {
      timeline_.Push(Duration::zero(), Arrival{i});
    }
  }

  auto Run() -> Result {
    timeline_.Run(kLength, [this](const auto& each) { On(each); });
    return result_;
  }

 private:
  struct Arrival {
    std::size_t service = 0;
  };
  struct Ended {
    std::size_t service = 0;
    AttemptId attempt;
  };
  struct Timer {
    std::size_t service = 0;
  };
  struct BatchTimer {};

  auto On(const Arrival& event) -> void {
    const auto now = timeline_.now();
    Handle(event.service,
           PoolRequestArrived{.request = RequestId(++last_request_),
                              .deadline = now + kTimeout,
                              .objective = kObjective});
    timeline_.Push(timeline_.DrawGap(kRate), Arrival{event.service});
  }

  auto On(const Ended& event) -> void {
    const bool has_failed = timeline_.random().Unit() < 0.1;
    if (has_failed) {
      ++result_.failures;
      failed_at_[event.service].push_back(timeline_.now());
    }
    Handle(
        event.service,
        PoolAttemptEnded{event.attempt, has_failed ? AttemptResult::kServerError
                                                   : AttemptResult::kAnswered});
  }

  auto On(const Timer& event) -> void { Handle(event.service, PoolTimer{}); }

  auto On(const BatchTimer& /*event*/) -> void {
    // The peers report as often.
    for (const auto& peer : peers_) {
      Batch(BatchPeerHeard{peer, Incarnation(1), true});
    }
    for (std::size_t i = 0; i < kCount; ++i) {
      Handle(i, PoolReportInvited{});
    }
    Batch(BatchDue{});
  }

  auto Handle(std::size_t service, const PoolEvent& event) -> void {
    for (const auto& action : pools_[service].OnEvent(event, timeline_.now())) {
      if (const auto* start = std::get_if<StartAttempt>(&action)) {
        timeline_.Push(milliseconds(20), Ended{service, start->attempt});
      } else if (const auto* wake = std::get_if<WakePoolAt>(&action)) {
        timeline_.Push(wake->at - timeline_.now(), Timer{service});
      } else if (const auto* send = std::get_if<SendToPeer>(&action)) {
        const auto& report = std::get<OutcomeReport>(send->message);
        if (is_batched_) {
          Batch(BatchReportMade{send->peer, report});
        } else {
          ++result_.messages;
          OnSent(report);
        }
      }
    }
  }

  auto Batch(const BatchEvent& event) -> void {
    for (const auto& action : batcher_.OnEvent(event, timeline_.now())) {
      if (const auto* wake = std::get_if<WakeBatcherAt>(&action)) {
        timeline_.Push(wake->at - timeline_.now(), BatchTimer{});
        continue;
      }
      ++result_.messages;
      const auto& message = std::get<SendToPeer>(action).message;
      if (const auto* batch = std::get_if<OutcomeBatch>(&message)) {
        for (const auto& report : batch->reports) {
          OnSent(report);
        }
      } else {
        OnSent(std::get<OutcomeReport>(message));
      }
    }
  }

  auto OnSent(const OutcomeReport& report) -> void {
    ++result_.reports;
    const auto service =
        static_cast<std::size_t>(std::stoul(report.service.value().substr(1)));
    auto& waiting = failed_at_[service];
    std::uint32_t failed = 0;
    for (const auto& outcomes : report.outcomes) {
      failed += outcomes.failed;
    }
    // Only the first message with a failure is counted, not those with the same
    // report for the other peers.
    const bool is_new = report.sequence > last_sequence_[service];
    last_sequence_[service] = report.sequence;
    for (; is_new && failed > 0 && !waiting.empty(); --failed) {
      result_.longest_wait =
          std::max(result_.longest_wait, timeline_.now() - waiting.front());
      waiting.erase(waiting.begin());
    }
  }

  const bool is_batched_;
  PoolTimeline<std::variant<Arrival, Ended, Timer, BatchTimer>> timeline_;
  std::vector<PoolDispatcher> pools_;
  ReportBatcher batcher_;
  std::vector<VmId> peers_;
  std::uint64_t last_request_ = 0;
  std::vector<std::vector<TimePoint>> failed_at_;
  std::array<std::uint64_t, kCount> last_sequence_{};
  Result result_;
};

}  // namespace

// Guards against an entry VM that spends most of its processor time on reports:
// 950 messages in 5 s to 12 peers, one for each service and peer (138 VMs at a
// fifth of their processor).
Test(report_batcher, a_peer_gets_one_message_for_all_services) {
  ReportBatcher batcher;
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(1), true}, kStart);
  const auto sent = SendReports(batcher, kStart, 5);
  cr_assert_eq(sent.size(), 1U);
  cr_assert(sent.front().peer == kPeer);
  const auto& batch = std::get<OutcomeBatch>(sent.front().message);
  cr_assert_eq(batch.reports.size(), 5U);
  cr_assert(batch.reports.back().service == ServiceId("s4"));
  cr_assert(batcher.OnEvent(BatchDue{}, kStart).empty());
}

// Guards against reports that VMs of an earlier release cannot read while half
// of the fleet is replaced.
Test(report_batcher, a_peer_of_an_earlier_release_gets_single_reports) {
  ReportBatcher batcher;
  const auto expect_single = [&](TimePoint now) {
    const auto sent = SendReports(batcher, now, 3);
    cr_assert_eq(sent.size(), 3U);
    for (const auto& each : sent) {
      cr_assert(std::get<OutcomeReport>(each.message).reads_batches);
    }
  };
  // Nothing is known of it.
  expect_single(kStart);
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(5), false}, kStart);
  expect_single(kStart);
  // It is replaced by the later release.
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(6), true}, kStart);
  cr_assert_eq(SendReports(batcher, kStart, 3).size(), 1U);
  // A late message of the process before changes nothing.
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(5), false}, kStart);
  cr_assert_eq(SendReports(batcher, kStart, 3).size(), 1U);
  // It is replaced by the earlier release again, whose reports are lost.
  expect_single(kStart + ReportBatcher::kTrustTime);
  // Now one arrives, and then a late one of the process before.
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(6), true},
                  kStart + ReportBatcher::kTrustTime);
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(7), false},
                  kStart + ReportBatcher::kTrustTime);
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(6), true},
                  kStart + ReportBatcher::kTrustTime);
  expect_single(kStart + ReportBatcher::kTrustTime);
}

// Guards against what was known of a peer outliving the link to it, and against
// messages to VMs that are no peers any more.
Test(report_batcher, forgets_peers_that_are_gone) {
  ReportBatcher batcher;
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(1), true}, kStart);
  batcher.OnEvent(BatchReportMade{kPeer, MakeReport(0)}, kStart);
  batcher.OnEvent(BatchPeersChanged{{VmId("c")}}, kStart);
  cr_assert(batcher.OnEvent(BatchDue{}, kStart).empty());
  batcher.OnEvent(BatchPeersChanged{{VmId("c"), kPeer}}, kStart);
  cr_assert_eq(SendReports(batcher, kStart, 3).size(), 3U);
}

// Guards against messages that the receiver refuses for their size.
Test(report_batcher, divides_what_exceeds_the_bounds_of_a_message) {
  ReportBatcher batcher;
  batcher.OnEvent(BatchPeerHeard{kPeer, Incarnation(1), true}, kStart);
  for (const std::size_t outcomes : {std::size_t{1}, std::size_t{3000}}) {
    const auto sent =
        SendReports(batcher, kStart, kMaxReportsPerBatch + 2, outcomes);
    std::size_t reports = 0;
    for (const auto& each : sent) {
      const auto* batch = std::get_if<OutcomeBatch>(&each.message);
      const auto count = batch == nullptr ? 1 : batch->reports.size();
      cr_assert_leq(count, kMaxReportsPerBatch);
      cr_assert(count == 1 ||
                count * outcomes <= ReportBatcher::kMaxOutcomesPerBatch);
      reports += count;
    }
    cr_assert_eq(reports, kMaxReportsPerBatch + 2);
  }
}

// Guards against failures that are reported late because reports are collected,
// and against more messages than the processor of a small VM can send.
Test(report_batcher, a_report_waits_only_after_another_message) {
  ReportBatcher batcher;
  const auto made = [&](TimePoint now) {
    return ActionsOf<WakeBatcherAt>(
        batcher.OnEvent(BatchReportMade{kPeer, MakeReport(0)}, now));
  };
  const auto first = made(kStart);
  cr_assert_eq(first.size(), 1U);
  cr_assert(first.front().at == kStart);
  cr_assert(made(kStart).empty());
  batcher.OnEvent(BatchDue{}, kStart);
  const auto soon = made(kStart + milliseconds(5));
  cr_assert_eq(soon.size(), 1U);
  cr_assert(soon.front().at == kStart + ReportBatcher::kMinInterval);
  batcher.OnEvent(BatchDue{}, soon.front().at);
  const auto later = made(kStart + seconds(1));
  cr_assert(later.front().at == kStart + seconds(1));
}

// Guards against services that take turns in reporting, so that nothing is
// saved, and against saving by late evidence. Six services, 28 requests/s each,
// a tenth of which fails.
Test(report_batcher, services_of_a_gateway_report_together) {
  const auto single = Services(false).Run();
  const auto batched = Services(true).Run();
  cr_log_info("messages %zu, %zu; reports %zu, %zu; longest wait %ld, %ld us",
              single.messages, batched.messages, single.reports,
              batched.reports, static_cast<long>(single.longest_wait.count()),
              static_cast<long>(batched.longest_wait.count()));
  cr_assert_gt(single.failures, 100U);
  cr_assert_lt(batched.messages * 3, single.messages);
  cr_assert_lt(batched.reports * 4, single.reports * 5);
  cr_assert_leq(batched.longest_wait.count(),
                (single.longest_wait + ReportBatcher::kMinInterval).count());
}

}  // namespace flamingoyoke
