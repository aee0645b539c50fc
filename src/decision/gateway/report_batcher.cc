#include "decision/gateway/report_batcher.h"

#include <algorithm>
#include <utility>

namespace flamingoyoke {

auto ReportBatcher::OnEvent(const BatchEvent& event, TimePoint now)
    -> std::vector<BatchAction> {
  now_ = now;
  std::visit([this](const auto& typed) { On(typed); }, event);
  return std::exchange(actions_, {});
}

auto ReportBatcher::On(const BatchReportMade& event) -> void {
  collected_[event.peer].push_back(event.report);
  if (is_scheduled_) {
    return;
  }
  is_scheduled_ = true;
  // Not sent at once even after a long time: the same dispatcher has reports
  // for other peers, and other dispatchers may have some.
  actions_.emplace_back(WakeBatcherAt{
      last_sent_ ? std::max(now_, *last_sent_ + kMinInterval) : now_});
}

auto ReportBatcher::On(const BatchPeerHeard& event) -> void {
  auto& peer = peers_[event.peer];
  // A late message of a process that was replaced says nothing about the one
  // that runs now.
  if (event.incarnation >= peer.incarnation) {
    peer = {event.incarnation, now_, event.reads_batches};
  }
}

auto ReportBatcher::On(const BatchPeersChanged& event) -> void {
  const auto is_gone = [&](const auto& each) {
    return std::find(event.peers.begin(), event.peers.end(), each.first) ==
           event.peers.end();
  };
  std::erase_if(peers_, is_gone);
  std::erase_if(collected_, is_gone);
}

auto ReportBatcher::On(const BatchDue& /*event*/) -> void {
  is_scheduled_ = false;
  if (collected_.empty()) {
    return;
  }
  last_sent_ = now_;
  for (auto& [peer, reports] : std::exchange(collected_, {})) {
    if (ReadsBatches(peer)) {
      SendBatches(peer, std::move(reports));
      continue;
    }
    for (auto& report : reports) {
      Send(peer, {std::move(report)});
    }
  }
}

auto ReportBatcher::ReadsBatches(const VmId& peer) const -> bool {
  const auto known = peers_.find(peer);
  return known != peers_.end() && known->second.reads_batches &&
         now_ - known->second.heard < kTrustTime;
}

auto ReportBatcher::SendBatches(const VmId& peer,
                                std::vector<OutcomeReport> reports) -> void {
  std::vector<OutcomeReport> batch;
  std::size_t outcomes = 0;
  for (auto& report : reports) {
    const bool is_full =
        batch.size() >= kMaxReportsPerBatch ||
        outcomes + report.outcomes.size() > kMaxOutcomesPerBatch;
    if (is_full && !batch.empty()) {
      Send(peer, std::exchange(batch, {}));
      outcomes = 0;
    }
    outcomes += report.outcomes.size();
    batch.push_back(std::move(report));
  }
  Send(peer, std::move(batch));
}

auto ReportBatcher::Send(const VmId& peer, std::vector<OutcomeReport> reports)
    -> void {
  if (reports.size() == 1) {
    auto& report = reports.front();
    report.reads_batches = true;
    actions_.emplace_back(SendToPeer{peer, std::move(report)});
    return;
  }
  actions_.emplace_back(SendToPeer{peer, OutcomeBatch{std::move(reports)}});
}

}  // namespace flamingoyoke
