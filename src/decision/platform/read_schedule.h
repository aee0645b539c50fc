#ifndef FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_

#include <chrono>
#include <cstddef>

#include "core/random.h"
#include "core/time.h"

namespace flamingoyoke {

// Schedules the reads of a key of the configuration service. Delays are
// jittered so that the nodes of a fleet do not read at the same time after a
// restart or an outage. Not thread-safe.
class ReadSchedule {
 public:
  // A new version of the registry travels whole to every VM. Versions are read
  // no faster than this many bytes per second, a fifth of a link of 10 Mbit/s.
  static constexpr double kRegistryBytesPerSecond = 250'000;
  // Changes, such as a target that leaves, wait at most this long.
  static constexpr Duration kMaxWatchInterval = std::chrono::milliseconds(250);

  explicit ReadSchedule(Random random) : random_(random) {}

  // Returns the delay before the first read of a process.
  auto FirstDelay() -> Duration;

  // Returns the delay after a successful read. It is short because a watch
  // waits at the service for the next change.
  auto DelayAfterAnswer() -> Duration;

  // Returns the delay after a failed read: exponential back-off up to a limit,
  // with random jitter over the upper half.
  auto DelayAfterFailure() -> Duration;

  // Returns the delay between two watches, in which changes of a registry of
  // `registry_bytes` are batched. At least `minimum`.
  [[nodiscard]] static auto WatchInterval(Duration minimum,
                                          std::size_t registry_bytes)
      -> Duration;

 private:
  auto Jitter(Duration duration) -> Duration;

  Random random_;
  int failures_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_
