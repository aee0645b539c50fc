#ifndef FLAMINGOYOKE_DECISION_GATEWAY_OVERLOAD_LIMIT_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_OVERLOAD_LIMIT_H_

#include <algorithm>
#include <chrono>

#include "core/time.h"

namespace flamingoyoke {

// Maximum time a request may wait for the gateway's processor. Callers give up
// on a VM that does not read their request within one second; a quarter of that
// also bounds the delay of events handled later in the same event loop
// iteration, such as configuration changes and completed requests.
inline constexpr Duration kMaxProcessorWait = std::chrono::milliseconds(250);

// Returns whether a request that has waited for the processor for `waited` must
// be rejected as not run so that the gateway can catch up. `left` is the time
// until its deadline. Thread-safe.
constexpr auto IsOverloaded(Duration waited, Duration left) -> bool {
  return waited > std::min(kMaxProcessorWait, left / 4);
}

// Returns the Retry-After delay of a rejected request. The remaining backlog is
// assumed to take as long as the time already spent on it. Thread-safe.
constexpr auto OverloadRetryAfter(Duration waited) -> Duration {
  return std::max(waited, Duration(std::chrono::milliseconds(50)));
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_OVERLOAD_LIMIT_H_
