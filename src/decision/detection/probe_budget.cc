#include "decision/detection/probe_budget.h"

#include <algorithm>

namespace flamingoyoke {

auto ProbeBudget::SetMemberCount(std::size_t members) -> void {
  // At least two members probe a target: its owner and a verifier.
  const auto parts = static_cast<double>(std::max<std::size_t>(members, 2));
  interval_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(parts / kFleetProbesPerSecond));
}

auto ProbeBudget::TryStart(TimePoint now, bool* is_new) -> bool {
  *is_new = false;
  if (running_since_ && now - *running_since_ < kMaxProbeDuration) {
    return true;
  }
  if (now < next_at_) {
    return false;
  }
  *is_new = true;
  running_since_ = now;
  next_at_ = now + interval_;
  return true;
}

}  // namespace flamingoyoke
