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
  // Bound of the memory; a target has a few slots, so more attempts than this
  // are ones whose end was lost.
  static constexpr std::size_t kMaxAttempts = 256;

  // Adds an attempt. Beyond kMaxAttempts, the oldest is forgotten.
  auto Start(const InFlightAttempt& attempt) -> void;

  // Removes and returns an attempt, or nothing if it is not known.
  auto End(AttemptId id) -> std::optional<InFlightAttempt>;

  // Marks and returns the attempts that have lasted `limit` or more and were
  // not returned before.
  auto TakeOverdue(Duration limit, TimePoint now)
      -> std::vector<InFlightAttempt>;

  // Returns the start of the oldest attempt, or nothing.
  [[nodiscard]] auto OldestStart() const -> std::optional<TimePoint>;

  // Returns the start of the oldest attempt that is not overdue, or nothing.
  [[nodiscard]] auto OldestStartNotOverdue() const -> std::optional<TimePoint>;

  auto Clear() -> void { attempts_.clear(); }

 private:
  // In the order of their start.
  std::vector<InFlightAttempt> attempts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_IN_FLIGHT_ATTEMPTS_H_
