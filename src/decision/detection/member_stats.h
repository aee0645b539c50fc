#ifndef FLAMINGOYOKE_DECISION_DETECTION_MEMBER_STATS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_MEMBER_STATS_H_

#include <optional>

#include "core/time.h"
#include "decision/detection/rate_window.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Statistics of the targets of one other member, from its load reports. Not
// thread-safe.
class MemberStats {
 public:
  // The statistics are not used if the last report is older.
  static constexpr Duration kMaxReportAge = std::chrono::seconds(5);

  // Adds a report. A repeated report counts twice, which does not change rates.
  auto OnReport(const LoadReport& report, TimePoint now) -> void;

  auto Outcomes() -> RateWindow& { return outcomes_; }
  [[nodiscard]] auto Outcomes() const -> const RateWindow& { return outcomes_; }

  // Returns the p95 of the response times, averaged over about one second, or
  // nothing without recent reports.
  [[nodiscard]] auto P95(TimePoint now) const -> std::optional<Duration>;

  // Returns the largest p95 reported in the last one to two seconds, or nothing
  // without recent reports.
  [[nodiscard]] auto PeakP95(TimePoint now) const -> std::optional<Duration>;

  // Returns whether the member's targets have slowed down, fail most of their
  // requests, or have stopped answering.
  [[nodiscard]] auto IsDegraded(TimePoint now) -> bool;

 private:
  RateWindow outcomes_;
  TimePoint last_report_;
  bool has_latency_ = false;
  // Whether half of the answers in the last report took longer than the
  // smoothed p95. This happens only if many targets slow down.
  bool is_slow_ = false;
  // Smoothed p95 in microseconds.
  double p95_ = 0;
  Duration peak_ = Duration::zero();
  Duration previous_peak_ = Duration::zero();
  TimePoint peak_start_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_MEMBER_STATS_H_
