#ifndef FLAMINGOYOKE_DECISION_DISPATCH_DEMAND_METER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_DEMAND_METER_H_

#include "core/time.h"

namespace flamingoyoke {

// Estimates the offered load in slots (Erlangs): the service time of the
// arriving requests per unit of time, as an exponentially weighted average over
// kWindow. Measures arrivals instead of slots in use, because the slots in use
// never exceed the cap and would hide excess demand. Not thread-safe.
class DemandMeter {
 public:
  // Records an arrival that is expected to occupy a slot for `service_time`.
  auto Add(Duration service_time, TimePoint now) -> void;

  // Returns the average number of slots that the arrivals need.
  [[nodiscard]] auto Slots(TimePoint now) const -> double;

  // Time constant of the average. Long requests are rare: at a few per second,
  // 30 s give an estimate within about 8%.
  static constexpr Duration kWindow = std::chrono::seconds(30);

 private:
  double decayed_seconds_ = 0;
  TimePoint first_arrival_{};
  TimePoint last_arrival_{};
  bool has_samples_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_DEMAND_METER_H_
