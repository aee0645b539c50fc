#include "decision/platform/read_schedule.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Forty nodes that restart together stay far below 2,000 reads a second.
constexpr Duration kFirstDelay = std::chrono::milliseconds(200);
// Bounds the rate of a reader whose watches return at once.
constexpr Duration kDelayAfterAnswer = std::chrono::milliseconds(100);
constexpr Duration kFirstBackOff = std::chrono::milliseconds(250);
// Short enough that a table is read within seconds of the service's return.
constexpr Duration kMaxBackOff = std::chrono::seconds(4);
// 250 ms doubled this often exceeds the longest back-off.
constexpr int kMaxDoublings = 5;

}  // namespace

auto ReadSchedule::FirstDelay() -> Duration {
  return Duration(random_.Below(kFirstDelay.count()));
}

auto ReadSchedule::DelayAfterAnswer() -> Duration {
  failures_ = 0;
  return Spread(kDelayAfterAnswer);
}

auto ReadSchedule::DelayAfterFailure() -> Duration {
  const auto doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  return Spread(std::min(kFirstBackOff * (1 << doublings), kMaxBackOff));
}

auto ReadSchedule::Spread(Duration duration) -> Duration {
  const auto half = duration / 2;
  return half + Duration(random_.Below(half.count() + 1));
}

}  // namespace flamingoyoke
