#ifndef FLAMINGOYOKE_DECISION_DETECTION_MEMBER_STATS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_MEMBER_STATS_H_

#include <optional>

#include "core/time.h"
#include "decision/detection/rate_window.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// What the load reports of one other member say about the targets that it
// owns. Not thread-safe.
class MemberStats {
 public:
  // Figures of a member that was not heard for this long are not used.
  static constexpr Duration kMaxReportAge = std::chrono::seconds(5);

  // Adds a report. A repeated one counts twice, which does not change rates.
  auto OnReport(const LoadReport& report, TimePoint now) -> void;

  auto Outcomes() -> RateWindow& { return outcomes_; }
  [[nodiscard]] auto Outcomes() const -> const RateWindow& { return outcomes_; }

  // Returns the p95 of response times, averaged over about one second, or
  // nothing without fresh reports.
  [[nodiscard]] auto P95(TimePoint now) const -> std::optional<Duration>;

  // Returns the largest p95 reported in the last one to two seconds, or
  // nothing without fresh reports.
  [[nodiscard]] auto PeakP95(TimePoint now) const -> std::optional<Duration>;

  // Returns whether most work on the member's targets fails, or none of it is
  // answered any more.
  [[nodiscard]] auto IsDegraded(TimePoint now) -> bool;

 private:
  RateWindow outcomes_;
  TimePoint last_report_;
  bool has_latency_ = false;
  // Whether half of the answers of the last report took longer than the usual
  // p95, which only a slow-down of many targets does.
  bool is_slow_ = false;
  // Microseconds.
  double p95_ = 0;
  Duration peak_ = Duration::zero();
  Duration previous_peak_ = Duration::zero();
  TimePoint peak_start_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_MEMBER_STATS_H_
