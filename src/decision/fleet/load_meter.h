#ifndef FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_
#define FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/time.h"
#include "decision/fleet/vm_resources.h"

namespace flamingoyoke {

// What a vm has and uses, read at one moment.
struct LoadReading {
  // Bytes received from callers and upstreams so far; nearly all are sent on.
  std::uint64_t received_bytes = 0;
  // Requests of callers so far.
  std::uint64_t requests = 0;
  // Longest time by which work was late since the last reading.
  Duration delay = Duration::zero();
};

// Turns the readings of a vm into what it tells the fleet of itself: the load,
// which is the highest use of the last seconds, so that it follows a rise at
// once and a fall late; and the capacity, which is less than the vm has while
// its work is late. Both change by steps, since each change is sent to every
// vm. Not thread-safe.
class LoadMeter {
 public:
  // The highest use of this time counts. Load that swings within it does not
  // move the announced value.
  static constexpr Duration kPeakWindow = std::chrono::seconds(12);
  // A vm with fewer requests per second announces no load: a few callers keep
  // old addresses for long.
  static constexpr double kMinRequestRate = 4;
  // Work that is later than this in two readings shows a vm that is slower than
  // its capacity says. Single delays come from a large change of configuration.
  static constexpr Duration kOverloadDelay = std::chrono::milliseconds(100);
  // The announced capacity never falls below this part of what the vm has, so
  // that it gets the few callers that show when it is well again.
  static constexpr double kMinCapacityShare = 0.125;

  // `capacity` is what the vm has; `request_time` the processor time that one
  // request takes.
  LoadMeter(const VmResources& capacity, Duration request_time);

  // Takes a reading at `now`, which must not go back. Returns whether load() or
  // capacity() has changed.
  auto Add(const LoadReading& reading, TimePoint now) -> bool;

  // The load to announce.
  [[nodiscard]] auto load() const -> const VmResources& { return load_; }
  // The capacity to announce.
  [[nodiscard]] auto capacity() const -> const VmResources& {
    return capacity_;
  }
  // The use between the last two readings.
  [[nodiscard]] auto last() const -> const VmResources& { return last_; }

 private:
  struct Sample {
    TimePoint at;
    VmResources used;
  };

  auto UpdateLoad(const VmResources& used, TimePoint now) -> bool;
  auto UpdateCapacity(const VmResources& used,
                      bool is_overloaded,
                      TimePoint now) -> bool;

  const VmResources nominal_;
  const Duration request_time_;
  std::optional<TimePoint> last_reading_time_;
  LoadReading last_reading_;
  VmResources last_;
  std::deque<Sample> samples_;
  VmResources load_;
  VmResources capacity_;
  bool was_overloaded_ = false;
  // When the capacity was changed last, or work was late.
  TimePoint last_overload_or_growth_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_
