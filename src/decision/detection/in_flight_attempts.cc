#include "decision/detection/in_flight_attempts.h"

#include <algorithm>

namespace flamingoyoke {

auto InFlightAttempts::Start(const InFlightAttempt& attempt) -> void {
  if (attempts_.size() >= kMaxAttempts) {
    attempts_.erase(attempts_.begin());
  }
  attempts_.push_back(attempt);
}

auto InFlightAttempts::End(AttemptId id) -> std::optional<InFlightAttempt> {
  const auto found =
      std::find_if(attempts_.begin(), attempts_.end(),
                   [&](const auto& attempt) { return attempt.id == id; });
  if (found == attempts_.end()) {
    return std::nullopt;
  }
  const auto ended = *found;
  attempts_.erase(found);
  return ended;
}

auto InFlightAttempts::TakeOverdue(Duration limit, TimePoint now)
    -> std::vector<InFlightAttempt> {
  std::vector<InFlightAttempt> overdue;
  for (auto& attempt : attempts_) {
    if (!attempt.is_overdue && now - attempt.started >= limit) {
      attempt.is_overdue = true;
      overdue.push_back(attempt);
    }
  }
  return overdue;
}

auto InFlightAttempts::OldestStart() const -> std::optional<TimePoint> {
  if (attempts_.empty()) {
    return std::nullopt;
  }
  return attempts_.front().started;
}

auto InFlightAttempts::OldestStartNotOverdue() const
    -> std::optional<TimePoint> {
  for (const auto& attempt : attempts_) {
    if (!attempt.is_overdue) {
      return attempt.started;
    }
  }
  return std::nullopt;
}

}  // namespace flamingoyoke
