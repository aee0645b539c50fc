#ifndef FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_
#define FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/time.h"
#include "decision/fleet/vm_resources.h"

namespace flamingoyoke {

// Counters of a process that only rise, read at one moment.
struct LoadReading {
  Duration processor_time = Duration::zero();
  // Bytes received from callers and upstreams; nearly all are sent on.
  std::uint64_t received_bytes = 0;
  std::uint64_t requests = 0;
};

// Turns the readings of a vm into the load that it announces to the fleet: the
// highest use of the last seconds, which follows a rise at once and a fall
// late, and changes by steps, since each change is sent to every vm. Not
// thread-safe.
class LoadMeter {
 public:
  // The highest use of this time counts. Load that swings within it does not
  // move the announced value.
  static constexpr Duration kMemory = std::chrono::seconds(12);
  // A vm with fewer requests per second announces no load: what it uses is for
  // its part in the fleet, not for callers.
  static constexpr double kLeastRequestRate = 4;

  // Takes a reading at `now`, which must not go back. Returns whether announced
  // has changed.
  auto Add(const LoadReading& reading, TimePoint now) -> bool;

  // The load to announce.
  [[nodiscard]] auto announced() const -> const VmResources& {
    return announced_;
  }
  // The use between the last two readings.
  [[nodiscard]] auto last() const -> const VmResources& { return last_; }

 private:
  struct Sample {
    TimePoint at;
    VmResources used;
  };

  std::optional<TimePoint> read_;
  LoadReading reading_;
  VmResources last_;
  std::deque<Sample> samples_;
  VmResources announced_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_
