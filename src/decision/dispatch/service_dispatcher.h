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
#include "decision/dispatch/demand_meter.h"
#include "decision/dispatch/dispatch_event.h"
#include "decision/dispatch/load_reporter.h"
#include "decision/dispatch/loan_borrower.h"
#include "decision/dispatch/loan_lender.h"
#include "decision/dispatch/long_work_policy.h"
#include "decision/dispatch/request_tracker.h"
#include "decision/dispatch/retry_budget.h"
#include "decision/dispatch/service_times.h"
#include "decision/dispatch/target_slots.h"
#include "decision/dispatch/team_limiter.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Counters since the dispatcher was created.
struct DispatchCounters {
  // Requests with a complete response, including status 500 and above.
  std::uint64_t answered = 0;
  // Requests that ended without any attempt.
  std::uint64_t rejected = 0;
  // Attempts after the first one of a request, including hedged ones.
  std::uint64_t retried = 0;
  // Requests that ended with an unknown outcome.
  std::uint64_t unknown = 0;
  // Hedged attempts: started while the first one was in flight.
  std::uint64_t hedged = 0;
  // Attempts on borrowed slots, and slots lent to peers.
  std::uint64_t borrowed = 0;
  std::uint64_t lent = 0;
};

// Schedules the requests of one service on one node: decides when each request
// runs and on which target. Each StartAttempt must be followed by exactly one
// AttemptFinished, also after a CancelAttempt. A request ends with one
// FailRequest, with the AttemptFinished event of its response, or with its
// RequestCancelled event.
//
// The caller of OnEvent enforces deadlines on connections and reports kTimeout.
// The dispatcher cancels an attempt itself only if that report is missing.
//
// Not thread-safe. The same events with the same seed give the same actions.
class ServiceDispatcher {
 public:
  // `policy` keeps long requests from blocking short ones; the reasons for the
  // default are in docs/decisions/dispatch.md.
  explicit ServiceDispatcher(Random random,
                             LongWorkPolicy policy = AdaptiveCap());

  // Handles one event and returns the resulting actions. `now` must not
  // decrease. Until the first DispatchConfigured, every request fails with
  // kNotReady.
  auto OnEvent(const DispatchEvent& event, TimePoint now)
      -> std::vector<DispatchAction>;

  // Slots of owned targets that are in use or lent.
  [[nodiscard]] auto slots_in_use() const -> std::uint32_t;
  // Usable slots of owned targets.
  [[nodiscard]] auto slots() const -> std::uint32_t;
  // Requests that wait in the queue.
  [[nodiscard]] auto queue_length() const -> std::size_t;
  // Slots that peers lent to this node.
  [[nodiscard]] auto borrowed_slots() const -> std::size_t;
  // Owned slots that are lent to peers.
  [[nodiscard]] auto lent_slots() const -> std::size_t;
  // Owned slots that long requests may occupy now.
  [[nodiscard]] auto long_slot_cap() const -> std::uint32_t;
  [[nodiscard]] auto counters() const -> const DispatchCounters& {
    return counters_;
  }

 private:
  auto On(const DispatchConfigured& event) -> void;
  auto On(const RequestArrived& event) -> void;
  auto On(const RequestCancelled& event) -> void;
  auto On(const AttemptResponseStarted& event) -> void;
  auto On(const AttemptFinished& event) -> void;
  auto On(const TargetShareChanged& event) -> void;
  auto On(const DispatchPeerMessage& event) -> void;
  auto On(const DispatchPeerLost& event) -> void;
  auto On(const DispatchResumed& event) -> void;
  auto On(const DispatchTimer& event) -> void;

  auto OnPeerMessage(const VmId& sender, const LoadReport& message) -> void;
  auto OnPeerMessage(const VmId& sender, const SlotRequest& message) -> void;
  auto OnPeerMessage(const VmId& sender, const SlotLoan& message) -> void;
  auto OnPeerMessage(const VmId& sender, const SlotReturn& message) -> void;
  auto OnPeerMessage(const VmId& sender, const SlotRecall& message) -> void;

  // Returns the error if a new request cannot be admitted. Otherwise consumes a
  // token of its team.
  auto FindRejection(const RequestArrived& event) -> std::optional<ErrorKind>;
  // Returns whether a new request would have to wait too long to meet its
  // deadline.
  [[nodiscard]] auto WouldMissDeadline(const RequestArrived& event) const
      -> bool;
  // Queues a request that has no attempt in flight.
  auto Enqueue(const TrackedRequest& request) -> void;
  // Retries or fails a request after a failed attempt.
  auto OnAttemptFailed(const TrackedAttempt& attempt,
                       const AttemptFinished& event) -> void;
  // Releases the slot of a finished attempt and records its result.
  auto ReleaseSlot(const TrackedAttempt& attempt, AttemptResult result) -> void;
  // Ends a request with `error`, or with the error of an earlier attempt that
  // may have been executed.
  auto Fail(RequestId request, ErrorKind error) -> void;
  // Cancels the unfinished attempts of a request other than `excluded`.
  auto CancelAttempts(const TrackedRequest& request, AttemptId excluded)
      -> void;

  // Fails queued requests whose deadline has passed.
  auto ExpireQueued() -> void;
  // Fails requests in flight whose timeout the caller of OnEvent did not
  // report.
  auto ExpireInFlight() -> void;
  // Ends expired loans, lent and borrowed.
  auto ExpireLoans() -> void;
  // Starts queued requests of `work_class` while slots are free.
  auto StartQueued(WorkClass work_class) -> void;
  // Returns whether the time left until the deadline of a queued request is too
  // short to serve it.
  [[nodiscard]] auto HasTooLittleTime(const QueuedRequest& queued) const
      -> bool;
  // Starts an attempt on an owned or borrowed slot; returns whether one was
  // free.
  auto StartOnAnySlot(const TrackedRequest& request) -> bool;
  // Starts second attempts for requests in flight for longer than the hedge
  // delay.
  auto StartHedges() -> void;
  auto Start(const TrackedRequest& request,
             const TargetId& target,
             const std::optional<LoanKey>& loan) -> void;

  // Lends idle slots to peers that requested them, and recalls loans if
  // requests wait.
  auto LendIdleSlots() -> void;
  auto GrantLoans(WorkClass work_class) -> void;
  // Recalls the loans of targets that must get no new requests.
  auto RecallFromUnusableTargets() -> void;
  auto SendRecall(const VmId& borrower, LoanId loan) -> void;
  // Returns unneeded loans, requests new ones and renews those in use.
  auto UpdateBorrowedSlots() -> void;
  // Returns how many slots to borrow for queued requests of `work_class`.
  [[nodiscard]] auto CountSlotsToBorrow(WorkClass work_class) const
      -> std::size_t;
  auto SendLoadReports() -> void;
  auto ScheduleWake() -> void;

  // Returns an owned target with a free slot that the policy allows for
  // `work_class`.
  auto PickOwnedTarget(WorkClass work_class, const TargetId& avoided_target)
      -> std::optional<TargetId>;
  [[nodiscard]] auto CurrentLongWorkState() const -> LongWorkState;
  // Idle slots as reported to peers; none while short requests wait.
  [[nodiscard]] auto ReportableIdleSlots() const -> std::uint32_t;
  [[nodiscard]] auto IsBusy() const -> bool;
  auto AppendMessages(const std::vector<SendToPeer>& sends) -> void;

  Random random_;
  LongWorkPolicy policy_;
  TimePoint now_;
  std::optional<ServiceRow> row_;
  VmId self_;
  std::vector<VmId> peers_;
  std::size_t members_ = 1;
  std::size_t member_index_ = 0;
  bool is_member_ = false;
  DeadlineQueue queue_;
  RequestTracker tracker_;
  TargetSlots slots_;
  ServiceTimes service_times_;
  DemandMeter short_demand_;
  DemandMeter long_demand_;
  TeamLimiter team_limiter_;
  RetryBudget retry_budget_;
  LoanLender lender_;
  LoanBorrower borrower_;
  LoadReporter reporter_;
  DispatchCounters counters_;
  std::uint64_t last_attempt_ = 0;
  std::optional<TimePoint> scheduled_wake_;
  std::vector<DispatchAction> actions_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_SERVICE_DISPATCHER_H_
