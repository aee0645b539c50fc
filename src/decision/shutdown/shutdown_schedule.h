#ifndef FLAMINGOYOKE_DECISION_SHUTDOWN_SHUTDOWN_SCHEDULE_H_
#define FLAMINGOYOKE_DECISION_SHUTDOWN_SHUTDOWN_SCHEDULE_H_

#include <chrono>
#include <optional>

#include "core/time.h"

namespace flamingoyoke {

// Decides which requests a VM still takes during a graceful shutdown. It keeps
// serving callers that have its address cached, but a request that is still in
// flight when the process has to end is cut off. A request is therefore taken
// only if its deadline passes before that. Not thread-safe.
class ShutdownSchedule {
 public:
  // Time between the deadline of a request and its last response byte: a target
  // answers at the deadline, and the answer is relayed.
  static constexpr Duration kFinalResponseTime = std::chrono::milliseconds(200);

  // `hard_limit` is the time after which unfinished requests are cut off.
  explicit ShutdownSchedule(Duration hard_limit) : hard_limit_(hard_limit) {}

  // Starts the shutdown. Later calls change nothing.
  auto Start(TimePoint now) -> void;

  // Returns whether to take a request with `deadline`.
  [[nodiscard]] auto Admits(TimePoint deadline) const -> bool;

 private:
  Duration hard_limit_;
  std::optional<TimePoint> hard_stop_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_SHUTDOWN_SHUTDOWN_SCHEDULE_H_
