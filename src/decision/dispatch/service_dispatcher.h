#ifndef FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_DISPATCHER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/error_kind.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"
#include "decision/dispatch/deadline_queue.h"
#include "decision/dispatch/dispatch_event.h"
#include "decision/dispatch/request_book.h"
#include "decision/dispatch/target_slots.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Counters since the dispatcher was made.
struct DispatchCounters {
  // Requests with a complete answer, 500 and above included.
  std::uint64_t answered = 0;
  // Requests that ended without any attempt.
  std::uint64_t rejected = 0;
  // Attempts after the first one of a request, hedges included.
  std::uint64_t retried = 0;
  // Requests that ended with an unknown outcome.
  std::uint64_t unknown = 0;
};

// Decides for one service on one node which request runs when and on which
// target. Each StartAttempt must be followed by exactly one AttemptFinished,
// also after a CancelAttempt. A request ends with one FailRequest, with the
// AttemptFinished event of its answer, or with its RequestCancelled event.
//
// The caller of OnEvent enforces deadlines on the wire and reports kTimeout;
// the dispatcher cancels an attempt itself only if that does not happen.
//
// Not thread-safe. The same events with the same seed give the same actions.
class ServiceDispatcher {
 public:
  explicit ServiceDispatcher(Random random);

  // Applies one event. `now` must not go backwards. Before the first
  // DispatchConfigured every request fails with kNotReady.
  auto OnEvent(const DispatchEvent& event, TimePoint now)
      -> std::vector<DispatchAction>;

  // Slots of owned targets that are in use.
  [[nodiscard]] auto slots_in_use() const -> std::uint32_t;
  // Usable slots of owned targets.
  [[nodiscard]] auto slots() const -> std::uint32_t;
  // Requests that wait.
  [[nodiscard]] auto queue_length() const -> std::size_t;
  [[nodiscard]] auto counters() const -> const DispatchCounters& {
    return counters_;
  }

 private:
  auto On(const DispatchConfigured& event) -> void;
  auto On(const RequestArrived& event) -> void;
  auto On(const RequestCancelled& event) -> void;
  auto On(const AttemptAnswering& event) -> void;
  auto On(const AttemptFinished& event) -> void;
  auto On(const TargetShareChanged& event) -> void;
  auto On(const DispatchPeerMessage& event) -> void;
  auto On(const DispatchPeerLost& event) -> void;
  auto On(const DispatchResumed& event) -> void;
  auto On(const DispatchTimer& event) -> void;

  // Returns why a new request cannot be accepted, if so.
  [[nodiscard]] auto RefusalOf(const RequestArrived& event) const
      -> std::optional<ErrorKind>;
  // Puts a request that has no attempt in flight back into the queue.
  auto Enqueue(const TrackedRequest& request) -> void;
  // Decides what follows a failed attempt of an open request.
  auto OnAttemptFailed(const TrackedAttempt& attempt, AttemptResult result)
      -> void;
  // Ends a request with an error that is true for all its attempts.
  auto Fail(RequestId request, ErrorKind error) -> void;
  // Cancels the unfinished attempts of a request except `kept`.
  auto CancelAttempts(const TrackedRequest& request, AttemptId kept) -> void;
  // Ends waiting requests whose deadline passed and attempts that the caller
  // of OnEvent failed to time out.
  auto ExpireDeadlines() -> void;
  // Starts attempts while requests wait and slots are free.
  auto StartAttempts() -> void;
  auto Start(const QueuedRequest& queued, const TargetId& target) -> void;
  auto OrderWake() -> void;

  Random random_;
  TimePoint now_;
  std::optional<ServiceRow> row_;
  VmId self_;
  std::vector<VmId> peers_;
  DeadlineQueue queue_;
  RequestBook book_;
  TargetSlots slots_;
  DispatchCounters counters_;
  std::uint64_t last_attempt_ = 0;
  std::optional<TimePoint> ordered_wake_;
  std::vector<DispatchAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_DISPATCHER_H_
