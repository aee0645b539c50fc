#ifndef FLAMINGOYOKE_DECISION_DISPATCH_DEADLINE_QUEUE_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_DEADLINE_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "core/ids.h"
#include "core/time.h"
#include "decision/dispatch/attempt.h"

namespace flamingoyoke {

// A request that waits for a free slot.
struct QueuedRequest {
  RequestId request{};
  WorkClass work_class = WorkClass::kShort;
  TimePoint deadline{};
  std::uint64_t body_bytes = 0;
};

// Queue of the waiting requests of one service, ordered by earliest deadline
// first within each work class. The number of requests and the total size of
// their bodies are bounded. Not thread-safe.
class DeadlineQueue {
 public:
  // Sets the bounds. Requests that are already queued stay, even if they exceed
  // the new bounds.
  auto SetLimits(std::size_t count, std::uint64_t bytes) -> void;

  // Returns whether a request with a body of `body_bytes` fits within the
  // bounds.
  [[nodiscard]] auto HasRoom(std::uint64_t body_bytes) const -> bool;

  // Adds a request unless it is already queued. Doesn't check the bounds,
  // because a retried request was already admitted.
  auto Push(const QueuedRequest& queued) -> void;

  // Removes a request and returns whether it was queued.
  auto Remove(RequestId request) -> bool;

  // Returns whether `request` is queued.
  [[nodiscard]] auto Contains(RequestId request) const -> bool;

  // Returns the request of `work_class` with the earliest deadline, if any.
  [[nodiscard]] auto Front(WorkClass work_class) const
      -> std::optional<QueuedRequest>;

  // Returns the earliest deadline of all queued requests, if any.
  [[nodiscard]] auto EarliestDeadline() const -> std::optional<TimePoint>;

  // Returns the number of queued requests of `work_class` whose deadline is not
  // later than `deadline`, up to `limit`.
  [[nodiscard]] auto CountBefore(WorkClass work_class,
                                 TimePoint deadline,
                                 std::size_t limit) const -> std::size_t;

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
  [[nodiscard]] auto size(WorkClass work_class) const -> std::size_t {
    return IndexFor(work_class).size();
  }
  [[nodiscard]] auto empty() const -> bool { return entries_.empty(); }

 private:
  using DeadlineIndex = std::set<std::pair<TimePoint, RequestId>>;

  [[nodiscard]] auto IndexFor(WorkClass work_class) const
      -> const DeadlineIndex& {
    return by_deadline_[static_cast<std::size_t>(work_class)];
  }

  std::size_t count_limit_ = 0;
  std::uint64_t byte_limit_ = 0;
  std::uint64_t bytes_ = 0;
  std::unordered_map<RequestId, QueuedRequest> entries_;
  std::array<DeadlineIndex, kEnumSize<WorkClass>> by_deadline_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_DEADLINE_QUEUE_H_
