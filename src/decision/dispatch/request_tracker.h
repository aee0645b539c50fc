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

// What the dispatcher knows about a request that has not ended.
struct TrackedRequest {
  RequestId request{};
  WorkClass work_class = WorkClass::kShort;
  bool repeatable = false;
  TimePoint deadline{};
  std::uint64_t body_bytes = 0;
  // Attempts that have not finished.
  std::vector<AttemptId> in_flight{};
  // Attempts that were started, finished ones included.
  std::uint32_t attempts = 0;
  // The error of an attempt that may have run; from then on the request can
  // no longer be reported as not run.
  std::optional<ErrorKind> unknown_outcome_error{};
  // The answer began to reach the caller, so no other attempt may start.
  bool response_started = false;
  // Target of the last failed attempt, to try another one first.
  TargetId avoided_target{};
};

// What the dispatcher knows about an attempt that has not finished. The
// request may have ended before.
struct TrackedAttempt {
  AttemptId attempt{};
  RequestId request{};
  TargetId target{};
  // Set if the slot was borrowed.
  std::optional<LoanKey> loan{};
  WorkClass work_class = WorkClass::kShort;
  TimePoint started{};
  bool cancelled = false;
};

// The open requests and attempts of one service. Not thread-safe.
class RequestTracker {
 public:
  // Adds a request; its id must be new.
  auto AddRequest(const TrackedRequest& request) -> TrackedRequest&;

  // Returns the open request, or null. Valid until the next change.
  auto FindRequest(RequestId request) -> TrackedRequest*;

  // Forgets a request. Its attempts stay until they finish.
  auto EraseRequest(RequestId request) -> void;

  // Adds an attempt and lists it with its request.
  auto AddAttempt(const TrackedAttempt& attempt) -> void;

  // Returns the unfinished attempt, or null. Valid until the next change.
  auto FindAttempt(AttemptId attempt) -> TrackedAttempt*;

  // Forgets an attempt and returns it, or nothing if it is not known.
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
