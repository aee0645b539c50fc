#include "decision/dispatch/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

// Lower bound of the observation time, so that the first arrivals don't produce
// an excessive estimate.
constexpr Duration kMinObservation = std::chrono::seconds(1);

auto DecayFactor(Duration elapsed) -> double {
  return std::exp(-ToSeconds(elapsed) / ToSeconds(DemandMeter::kWindow));
}

}  // namespace

auto DemandMeter::Add(Duration service_time, TimePoint now) -> void {
  if (!has_samples_) {
    has_samples_ = true;
    first_arrival_ = now;
    last_arrival_ = now;
  }
  decayed_seconds_ *= DecayFactor(now - last_arrival_);
  decayed_seconds_ += ToSeconds(service_time);
  last_arrival_ = now;
}

auto DemandMeter::Slots(TimePoint now) const -> double {
  if (!has_samples_) {
    return 0;
  }
  const auto observed = std::max(now - first_arrival_, kMinObservation);
  const double weight = ToSeconds(kWindow) * (1 - DecayFactor(observed));
  return decayed_seconds_ * DecayFactor(now - last_arrival_) / weight;
}

}  // namespace flamingoyoke
