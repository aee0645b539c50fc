#ifndef FLAMINGOYOKE_CORE_TIME_H_
#define FLAMINGOYOKE_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace flamingoyoke {

using Duration = std::chrono::microseconds;

// The clock of all time points: time since boot, including time spent
// suspended. It has no now(), so that decision code cannot read the time;
// `runtime/clock.h` does.
struct BootClock {
  using rep = std::int64_t;
  using period = std::micro;
  using duration = Duration;
  using time_point = std::chrono::time_point<BootClock, Duration>;
  static constexpr bool is_steady = true;  // NOLINT: standard name.
};

using TimePoint = BootClock::time_point;

// Returns `duration` in seconds. Thread-safe.
constexpr auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

// Returns `duration` in whole milliseconds, rounded down. Thread-safe.
constexpr auto ToMilliseconds(Duration duration) -> std::int64_t {
  return std::chrono::floor<std::chrono::milliseconds>(duration).count();
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_TIME_H_
