#ifndef FLAMINGOYOKE_DECISION_PLATFORM_WATCH_RECOVERY_H_
#define FLAMINGOYOKE_DECISION_PLATFORM_WATCH_RECOVERY_H_

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

// Decides whether a failed watch is evidence that the store was unavailable.
// Entries of live targets expire while the store is unavailable, but not while
// only the connection of a watch ends, which the store may do at any time. Not
// thread-safe.
class WatchRecovery {
 public:
  // A watch that was cut must be answered within this time. Repeated cuts must
  // not hide a store that has stopped answering.
  static constexpr Duration kMaxCutTime = std::chrono::seconds(1);

  // The store answered a read.
  auto OnAnswered() -> void { cut_since_.reset(); }

  // A watch ended with `outcome`, which is not kAnswered. Returns whether to
  // resume it at its revision instead of treating the store as unavailable.
  [[nodiscard]] auto ShouldResume(ReadOutcome outcome, TimePoint now) -> bool {
    if (outcome != ReadOutcome::kCut) {
      return false;
    }
    if (!cut_since_) {
      cut_since_ = now;
    }
    return now - *cut_since_ < kMaxCutTime;
  }

  // Whether the last watch was cut and none was answered since.
  [[nodiscard]] auto is_resuming() const -> bool {
    return cut_since_.has_value();
  }

 private:
  std::optional<TimePoint> cut_since_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_PLATFORM_WATCH_RECOVERY_H_
