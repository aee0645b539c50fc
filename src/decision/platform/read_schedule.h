#ifndef FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_

#include "core/random.h"
#include "core/time.h"

namespace flamingoyoke {

// Decides when to read a key of the configuration service again, so that a
// fleet that restarts or meets an outage does not read in step. Not
// thread-safe.
class ReadSchedule {
 public:
  explicit ReadSchedule(Random random) : random_(random) {}

  // Returns the delay of the first read of a process.
  auto FirstDelay() -> Duration;

  // Returns the delay after a read that the service answered. A watch waits at
  // the service, so that the next read may follow soon.
  auto DelayAfterAnswer() -> Duration;

  // Returns the delay after a failed read: doubled with each failure in a row
  // up to a limit, then spread at random over its upper half.
  auto DelayAfterFailure() -> Duration;

 private:
  auto Spread(Duration duration) -> Duration;

  Random random_;
  int failures_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_READ_SCHEDULE_H_
