#ifndef FLAMINGOYOKE_DECISION_DETECTION_IN_FLIGHT_ATTEMPTS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_IN_FLIGHT_ATTEMPTS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"

namespace flamingoyoke {

// An attempt that was written to the target and has not ended.
struct InFlightAttempt {
  AttemptId id;
  TimePoint started;
  bool is_new_connection = false;
  // Whether it was already reported as overdue.
  bool is_overdue = false;
};

// Attempts in flight on one target. Not thread-safe.
class InFlightAttempts {
 public:
  // Limits the memory. A target has only a few slots, so further attempts are
  // ones whose end event was lost.
  static constexpr std::size_t kMaxAttempts = 256;

  // Adds an attempt. Removes the oldest one at kMaxAttempts.
  auto Start(const InFlightAttempt& attempt) -> void;

  // Removes and returns the attempt, or returns nothing if it is unknown.
  auto End(AttemptId id) -> std::optional<InFlightAttempt>;

  // Marks and returns the attempts that have lasted at least `limit` and were
  // not returned before.
  auto TakeOverdue(Duration limit, TimePoint now)
      -> std::vector<InFlightAttempt>;

  // Returns the start of the oldest attempt, or nothing if there is none.
  [[nodiscard]] auto OldestStart() const -> std::optional<TimePoint>;

  // Returns the start of the oldest attempt that is not marked as overdue, or
  // nothing if there is none.
  [[nodiscard]] auto OldestStartNotOverdue() const -> std::optional<TimePoint>;

  auto Clear() -> void { attempts_.clear(); }

 private:
  // Ordered by start time.
  std::vector<InFlightAttempt> attempts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_IN_FLIGHT_ATTEMPTS_H_
