#ifndef FLAMINGOYOKE_RUNTIME_CLOCK_H_
#define FLAMINGOYOKE_RUNTIME_CLOCK_H_

#include <cstdint>

#include "core/time.h"

namespace flamingoyoke {

// Returns the time since boot, including time spent suspended. Thread-safe.
auto Now() -> TimePoint;

// Returns the processor time that the calling thread has used. Thread-safe.
auto ThreadProcessorTime() -> Duration;

// Returns the wall-clock time in milliseconds since 1970, for people and other
// systems to read. It can step: measure durations with Now. Thread-safe.
auto WallClockMs() -> std::int64_t;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_CLOCK_H_
