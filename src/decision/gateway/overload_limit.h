#ifndef FLAMINGOYOKE_DECISION_GATEWAY_OVERLOAD_LIMIT_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_OVERLOAD_LIMIT_H_

#include <algorithm>
#include <chrono>

#include "core/time.h"

namespace flamingoyoke {

// Longest time that requests may wait for the processor of a gateway. A quarter
// of the second after which callers give up on a vm that does not read their
// request: what comes after the request in the same turn of the event loop,
// such as changes of configuration and the ends of other requests, is not late
// by more than that either.
inline constexpr Duration kMostProcessorWait = std::chrono::milliseconds(250);

// Returns whether a request that has waited for the processor so far is refused
// as not run, so that the gateway catches up. `left` is the time until its
// deadline. Thread-safe.
constexpr auto IsOverloaded(Duration waited, Duration left) -> bool {
  return waited > std::min(kMostProcessorWait, left / 4);
}

// Returns when a refused caller may come back: the work that waits takes about
// as long as what was done of it. Thread-safe.
constexpr auto OverloadRetryAfter(Duration waited) -> Duration {
  return std::max(waited, Duration(std::chrono::milliseconds(50)));
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_OVERLOAD_LIMIT_H_
