#include "decision/shutdown/shutdown_schedule.h"

namespace flamingoyoke {

auto ShutdownSchedule::Start(TimePoint now) -> void {
  if (!hard_stop_) {
    hard_stop_ = now + hard_limit_;
  }
}

auto ShutdownSchedule::Admits(TimePoint deadline) const -> bool {
  return !hard_stop_ || deadline + kFinalResponseTime <= *hard_stop_;
}

}  // namespace flamingoyoke
