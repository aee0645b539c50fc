#include "decision/platform/store_availability.h"

#include <algorithm>

namespace flamingoyoke {

auto StoreAvailability::OnStarted(const StoreContact& known) -> void {
  contact_ = known;
  was_interrupted_ = true;
}

auto StoreAvailability::OnAnswered(TimePoint requested_at, TimePoint now)
    -> void {
  auto& last = contact_.answered_at;
  was_interrupted_ =
      !last || !contact_.available_since || now - *last >= kShortestOutage;
  if (was_interrupted_) {
    contact_.available_since = now;
  }
  last = std::max(last.value_or(requested_at), requested_at);
}

}  // namespace flamingoyoke
