#include "decision/platform/read_schedule.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Keeps 40 nodes that restart together far below 2,000 reads per second.
constexpr Duration kMaxFirstDelay = std::chrono::milliseconds(200);
// Limits the read rate when watches return immediately.
constexpr Duration kDelayAfterAnswer = std::chrono::milliseconds(100);
constexpr Duration kMinBackOff = std::chrono::milliseconds(250);
// Short enough that a table is read within seconds after the service recovers.
constexpr Duration kMaxBackOff = std::chrono::seconds(4);
// 250 ms doubled this many times exceeds kMaxBackOff.
constexpr int kMaxDoublings = 5;

}  // namespace

auto ReadSchedule::FirstDelay() -> Duration {
  return Duration(random_.Below(kMaxFirstDelay.count()));
}

auto ReadSchedule::DelayAfterAnswer() -> Duration {
  failures_ = 0;
  return Jitter(kDelayAfterAnswer);
}

auto ReadSchedule::DelayAfterFailure() -> Duration {
  const auto doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  return Jitter(std::min(kMinBackOff * (1 << doublings), kMaxBackOff));
}

auto ReadSchedule::WatchInterval(Duration minimum, std::size_t registry_bytes)
    -> Duration {
  const auto seconds =
      static_cast<double>(registry_bytes) / kRegistryBytesPerSecond;
  const Duration batch(static_cast<std::int64_t>(seconds * 1e6));
  return std::max(minimum, std::min(batch, kMaxWatchInterval));
}

auto ReadSchedule::Jitter(Duration duration) -> Duration {
  const auto half = duration / 2;
  return half + Duration(random_.Below(half.count() + 1));
}

}  // namespace flamingoyoke
