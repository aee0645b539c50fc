#ifndef FLAMINGOYOKE_DECISION_GATEWAY_REPORT_BATCHER_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_REPORT_BATCHER_H_

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Events of ReportBatcher.

// The dispatcher of a service has a report for a peer.
struct BatchReportMade {
  VmId peer;
  OutcomeReport report;
};

// A peer sent an OutcomeReport or an OutcomeBatch.
struct BatchPeerHeard {
  VmId peer;
  Incarnation incarnation;
  bool reads_batches = false;
};

// The peers that reports are exchanged with.
struct BatchPeersChanged {
  std::vector<VmId> peers;
};

// The time of the last WakeBatcherAt has come, and the dispatchers have added
// what else they have to report.
struct BatchDue {};

using BatchEvent =
    std::variant<BatchReportMade, BatchPeerHeard, BatchPeersChanged, BatchDue>;

// Actions of ReportBatcher.

// Let all dispatchers add their reports at `at`, then deliver a BatchDue.
struct WakeBatcherAt {
  TimePoint at;
};

using BatchAction = std::variant<SendToPeer, WakeBatcherAt>;

// Collects the outcome reports of all services of a gateway, so that each peer
// gets one message for all of them. A VM that is short of processor spends more
// time on sending messages than on callers. Peers of an earlier release get
// each report by itself, as before.
//
// Not thread-safe. Deterministic.
class ReportBatcher {
 public:
  // Minimum time between two messages to a peer. Reports of the dispatcher of
  // one service are at least that far apart in any case.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(20);
  // A peer that stated that it reads batches is trusted for this time after its
  // last report. It may be replaced by an earlier release under the same name.
  static constexpr Duration kTrustTime = std::chrono::seconds(10);
  // Bounds the size of a message: 200 bytes for each outcome stay well below
  // the largest envelope.
  static constexpr std::size_t kMaxOutcomesPerBatch = 4096;

  // Handles one event and returns the resulting actions. `now` must not
  // decrease.
  auto OnEvent(const BatchEvent& event, TimePoint now)
      -> std::vector<BatchAction>;

 private:
  // What the newest known process of a peer said last.
  struct Peer {
    Incarnation incarnation;
    TimePoint heard;
    bool reads_batches = false;
  };

  auto On(const BatchReportMade& event) -> void;
  auto On(const BatchPeerHeard& event) -> void;
  auto On(const BatchPeersChanged& event) -> void;
  auto On(const BatchDue& event) -> void;

  [[nodiscard]] auto ReadsBatches(const VmId& peer) const -> bool;
  // Sends the reports in as few messages as their bounds allow.
  auto SendBatches(const VmId& peer, std::vector<OutcomeReport> reports)
      -> void;
  auto Send(const VmId& peer, std::vector<OutcomeReport> reports) -> void;

  TimePoint now_;
  std::map<VmId, Peer> peers_;
  // Reports to be sent, in the order in which they were made.
  std::map<VmId, std::vector<OutcomeReport>> collected_;
  std::optional<TimePoint> last_sent_;
  bool is_scheduled_ = false;
  std::vector<BatchAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_REPORT_BATCHER_H_
