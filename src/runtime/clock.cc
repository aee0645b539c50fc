#include "runtime/clock.h"

#include <time.h>

#include <chrono>

namespace flamingoyoke {

auto Now() -> TimePoint {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

auto WallClockMs() -> std::int64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::floor<std::chrono::milliseconds>(now).count();
}

}  // namespace flamingoyoke
