#include "runtime/clock.h"

#include <sys/resource.h>
#include <time.h>

#include <chrono>

namespace flamingoyoke {

namespace {

auto ToDuration(const timeval& time) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::microseconds(time.tv_usec));
}

}  // namespace

auto Now() -> TimePoint {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

auto ProcessorTime() -> Duration {
  rusage usage = {};
  getrusage(RUSAGE_SELF, &usage);
  return ToDuration(usage.ru_utime) + ToDuration(usage.ru_stime);
}

auto WallClockMs() -> std::int64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::floor<std::chrono::milliseconds>(now).count();
}

}  // namespace flamingoyoke
