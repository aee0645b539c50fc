#ifndef FLAMINGOYOKE_DECISION_DISPATCH_REQUEST_TRACKER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_REQUEST_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/dispatch/loan_key.h"

namespace flamingoyoke {

// State of a request that has not ended.
struct TrackedRequest {
  RequestId request{};
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  TimePoint deadline{};
  std::uint64_t body_bytes = 0;
  // Attempts that have not finished.
  std::vector<AttemptId> in_flight{};
  // Number of attempts started, including finished ones.
  std::uint32_t attempts = 0;
  // Error of an attempt that the upstream may have executed. Once set, the
  // request must not be reported as not run.
  std::optional<ErrorKind> unknown_outcome_error{};
  // The response is being sent to the caller, so no other attempt may start.
  bool response_started = false;
  // Target of the last failed attempt; other targets are preferred for the next
  // one.
  TargetId avoided_target{};
};

// State of an attempt that has not finished. Its request may have ended
// already.
struct TrackedAttempt {
  AttemptId attempt{};
  RequestId request{};
  TargetId target{};
  // Set if the attempt uses a borrowed slot.
  std::optional<LoanKey> loan{};
  WorkClass work_class = WorkClass::kShort;
  TimePoint started{};
  bool cancelled = false;
};

// Unfinished requests and attempts of one service. Not thread-safe.
class RequestTracker {
 public:
  // Adds a request; its id must be new.
  auto AddRequest(const TrackedRequest& request) -> TrackedRequest&;

  // Returns the request, or null if it has ended. Valid until the tracker
  // changes.
  auto FindRequest(RequestId request) -> TrackedRequest*;

  // Removes a request. Its attempts stay until they finish.
  auto EraseRequest(RequestId request) -> void;

  // Adds an attempt, also to the attempts in flight of its request.
  auto AddAttempt(const TrackedAttempt& attempt) -> void;

  // Returns the attempt, or null if it has finished. Valid until the tracker
  // changes.
  auto FindAttempt(AttemptId attempt) -> TrackedAttempt*;

  // Removes and returns an attempt; returns nothing if it is unknown.
  auto RemoveAttempt(AttemptId attempt) -> std::optional<TrackedAttempt>;

  [[nodiscard]] auto attempts() const
      -> const std::unordered_map<AttemptId, TrackedAttempt>& {
    return attempts_;
  }
  [[nodiscard]] auto requests() const -> std::size_t {
    return requests_.size();
  }

 private:
  std::unordered_map<RequestId, TrackedRequest> requests_;
  std::unordered_map<AttemptId, TrackedAttempt> attempts_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_REQUEST_TRACKER_H_
