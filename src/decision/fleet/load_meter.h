#ifndef FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_
#define FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/time.h"
#include "decision/fleet/vm_resources.h"

namespace flamingoyoke {

// Counters and delay of a VM at one moment.
struct LoadReading {
  // Total bytes received from callers and upstreams; nearly all are sent on.
  std::uint64_t received_bytes = 0;
  // Total requests from callers.
  std::uint64_t requests = 0;
  // Longest delay of work since the last reading.
  Duration delay = Duration::zero();
};

// Derives the load and the capacity that a VM announces to the fleet. The load
// is the peak use of the last seconds, so it follows a rise at once and a fall
// late. The capacity is reduced while the VM is overloaded. Both change in
// steps, because each change is sent to every VM. Not thread-safe.
class LoadMeter {
 public:
  // The peak use within this window counts. Load that oscillates within the
  // window does not change the announced value.
  static constexpr Duration kPeakWindow = std::chrono::seconds(12);
  // A VM with fewer requests per second announces no load: a few callers keep
  // using old addresses for a long time.
  static constexpr double kMinRequestRate = 4;
  // A delay of at least this in two consecutive readings shows that the VM is
  // slower than its capacity suggests. Single delays are caused by large
  // configuration changes.
  static constexpr Duration kOverloadDelay = std::chrono::milliseconds(100);
  // The announced capacity never falls below this share of the nominal one, so
  // that the VM keeps the few callers that are needed to detect its recovery.
  static constexpr double kMinCapacityShare = 0.125;

  // `capacity` is the nominal capacity; `request_time` is the processor time
  // per request.
  LoadMeter(const VmResources& capacity, Duration request_time);

  // Adds a reading taken at `now`, which must not go back. Returns whether
  // load() or capacity() changed.
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
  // When the VM was last overloaded or its capacity last increased.
  TimePoint last_overload_or_growth_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_FLEET_LOAD_METER_H_
