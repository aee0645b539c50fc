#ifndef FLAMINGOYOKE_DECISION_DISPATCH_DEMAND_METER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_DEMAND_METER_H_

#include "core/time.h"

namespace flamingoyoke {

// Offered work in slots: the sum of the service times of arriving requests per
// unit of time, averaged over about kWindow. Counts arrivals rather than use,
// since use cannot exceed a cap and would hide demand. Not thread-safe.
class DemandMeter {
 public:
  // Adds a request that is expected to hold a slot for `service_time`.
  auto Add(Duration service_time, TimePoint now) -> void;

  // Average number of slots that the arrivals need.
  [[nodiscard]] auto Slots(TimePoint now) const -> double;

  // Long work is rare: at a few long requests per second, 30 s give an
  // estimate within some 8%.
  static constexpr Duration kWindow = std::chrono::seconds(30);

 private:
  double decayed_seconds_ = 0;
  TimePoint first_arrival_{};
  TimePoint last_arrival_{};
  bool has_samples_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_DEMAND_METER_H_
