#ifndef FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_

#include "core/random.h"
#include "core/time.h"

namespace flamingoyoke {

// Schedules the reads of a key of the configuration service. Delays are
// jittered so that the nodes of a fleet do not read at the same time after a
// restart or an outage. Not thread-safe.
class ReadSchedule {
 public:
  explicit ReadSchedule(Random random) : random_(random) {}

  // Returns the delay before the first read of a process.
  auto FirstDelay() -> Duration;

  // Returns the delay after a successful read. It is short because a watch
  // waits at the service for the next change.
  auto DelayAfterAnswer() -> Duration;

  // Returns the delay after a failed read: exponential back-off up to a limit,
  // with random jitter over the upper half.
  auto DelayAfterFailure() -> Duration;

 private:
  auto Jitter(Duration duration) -> Duration;

  Random random_;
  int failures_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_
