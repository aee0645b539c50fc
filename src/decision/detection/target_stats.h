#ifndef FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATS_H_

#include <array>

#include "core/time.h"
#include "decision/detection/failure_class.h"
#include "decision/detection/in_flight_attempts.h"
#include "decision/detection/latency_window.h"
#include "decision/detection/rate_window.h"

namespace flamingoyoke {

// Recent outcomes, response times and in-flight attempts of one owned target.
// Other targets are compared with these as their peer. Not thread-safe.
class TargetStats {
 public:
  // Returns the outcomes for one failure class.
  auto Rates(FailureClass failure_class) -> RateWindow& {
    return rates_[static_cast<std::size_t>(failure_class)];
  }
  [[nodiscard]] auto Rates(FailureClass failure_class) const
      -> const RateWindow& {
    return rates_[static_cast<std::size_t>(failure_class)];
  }
  // Returns the server errors that callers of this node received, without those
  // that other nodes reported.
  auto CallerErrors() -> RateWindow& { return caller_errors_; }
  [[nodiscard]] auto CallerErrors() const -> const RateWindow& {
    return caller_errors_;
  }
  auto Latency() -> LatencyWindow& { return latency_; }
  auto InFlight() -> InFlightAttempts& { return in_flight_; }
  [[nodiscard]] auto InFlight() const -> const InFlightAttempts& {
    return in_flight_;
  }

  // Time of the last answer of any kind, or the epoch without one.
  [[nodiscard]] auto last_answer() const -> TimePoint { return last_answer_; }
  auto MarkAnswered(TimePoint now) -> void { last_answer_ = now; }

 private:
  std::array<RateWindow, kEnumSize<FailureClass>> rates_;
  RateWindow caller_errors_;
  LatencyWindow latency_;
  InFlightAttempts in_flight_;
  TimePoint last_answer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_TARGET_STATS_H_
