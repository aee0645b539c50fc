#include "runtime/clock.h"

#include <time.h>

#include <chrono>

namespace flamingoyoke {

namespace {

auto Read(clockid_t clock) -> Duration {
  timespec time = {};
  clock_gettime(clock, &time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

auto Now() -> TimePoint {
  return TimePoint(Read(CLOCK_BOOTTIME));
}

auto ThreadProcessorTime() -> Duration {
  return Read(CLOCK_THREAD_CPUTIME_ID);
}

auto WallClockMs() -> std::int64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::floor<std::chrono::milliseconds>(now).count();
}

}  // namespace flamingoyoke
