#ifndef FLAMINGOYOKE_DECISION_GATEWAY_RUN_TIME_AVERAGE_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_RUN_TIME_AVERAGE_H_

#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Average run time of answered requests, in which newer ones count more. Not
// thread-safe.
class RunTimeAverage {
 public:
  // `weight` is that of the newest run time, above 0 and at most 1.
  explicit RunTimeAverage(double weight) : weight_(weight) {}

  auto Add(Duration run_time) -> void {
    if (value_ == Duration::zero()) {
      value_ = run_time;
      return;
    }
    value_ += Duration(static_cast<std::int64_t>(
        weight_ * static_cast<double>((run_time - value_).count())));
  }
  // Returns zero if nothing was added.
  [[nodiscard]] auto value() const -> Duration { return value_; }

 private:
  double weight_;
  Duration value_ = Duration::zero();
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_RUN_TIME_AVERAGE_H_
