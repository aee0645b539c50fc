#ifndef FLAMINGOYOKE_DECISION_PLATFORM_READ_RECOVERY_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_READ_RECOVERY_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>

#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// How a read of the store ended.
enum class ReadOutcome {
  kAnswered,     // A complete answer, whatever its status.
  kCut,          // The connection ended before the answer was complete.
  kTimedOut,     // Nothing arrived in time.
  kUnreachable,  // No connection could be established.
  kTooLarge,     // The answer exceeds the limit.
};

template <>
struct EnumNames<ReadOutcome> {
  static constexpr auto kTable = std::to_array<NameEntry<ReadOutcome>>({
      {ReadOutcome::kAnswered, "answered"},
      {ReadOutcome::kCut, "cut"},
      {ReadOutcome::kTimedOut, "timed-out"},
      {ReadOutcome::kUnreachable, "unreachable"},
      {ReadOutcome::kTooLarge, "too-large"},
  });
};
static_assert(IsDense<ReadOutcome>());

// Decides whether a reader repeats a failed read or reports the store as lost,
// so that other VMs read it. A connection that is closed, reset or silent says
// little about the store, and this may happen to the connections of all readers
// at once. What shows whether this VM still reaches the store is whether it is
// answered soon on a new connection. Not thread-safe.
class ReadRecovery {
 public:
  // A failed read must be followed by an answer within this time after it was
  // requested. Long enough for a silent watch to time out and for one more read
  // after it; short enough for other VMs to take over within the two seconds in
  // which a change must be in force.
  static constexpr Duration kMaxUnansweredTime =
      std::chrono::milliseconds(1500);

  // This VM starts to read the store. Until the first answer, no failed read is
  // retried: nothing shows that this VM reaches the store.
  auto OnStarted() -> void {
    has_answered_ = false;
    unanswered_since_.reset();
  }

  // The store answered a read.
  auto OnAnswered() -> void {
    has_answered_ = true;
    unanswered_since_.reset();
  }

  // A read that was requested at `requested_at` ended with `outcome`, which is
  // not kAnswered. Returns whether to repeat it at once on a new connection
  // instead of reporting the store as lost.
  [[nodiscard]] auto ShouldRetry(ReadOutcome outcome,
                                 TimePoint requested_at,
                                 TimePoint now) -> bool {
    if (!unanswered_since_) {
      unanswered_since_ = requested_at;
    }
    return has_answered_ && IsConnectionFailure(outcome) &&
           now - *unanswered_since_ < kMaxUnansweredTime;
  }

  // Whether the last read failed and none was answered since.
  [[nodiscard]] auto is_retrying() const -> bool {
    return unanswered_since_.has_value();
  }

  // Returns how long to wait for the answer to a read that is requested now and
  // normally times out after `timeout`. A retry ends with kMaxUnansweredTime.
  [[nodiscard]] auto LimitTimeout(Duration timeout, TimePoint now) const
      -> Duration {
    if (!unanswered_since_) {
      return timeout;
    }
    const auto left = *unanswered_since_ + kMaxUnansweredTime - now;
    return left > Duration::zero() ? std::min(timeout, left) : timeout;
  }

 private:
  // A connection that is refused, or an answer that is too large, is a reply to
  // the attempt itself.
  [[nodiscard]] static auto IsConnectionFailure(ReadOutcome outcome) -> bool {
    return outcome == ReadOutcome::kCut || outcome == ReadOutcome::kTimedOut;
  }

  bool has_answered_ = false;
  // When the first of the reads was requested that have failed since the last
  // answer.
  std::optional<TimePoint> unanswered_since_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_READ_RECOVERY_H_
