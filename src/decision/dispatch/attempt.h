#ifndef FLAMINGOYOKE_DECISION_DISPATCH_ATTEMPT_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_ATTEMPT_H_

#include <array>

#include "core/ids.h"
#include "core/name_table.h"

namespace flamingoyoke {

// Identifies one attempt of a request on one target; unique within the process.
using AttemptId = NumberId<struct AttemptTag>;

enum class WorkClass { kShort, kLong };

template <>
struct EnumNames<WorkClass> {
  static constexpr auto kTable = std::to_array<NameEntry<WorkClass>>({
      {WorkClass::kShort, "short"},
      {WorkClass::kLong, "long"},
  });
};
static_assert(IsDense<WorkClass>());

// Outcome of one attempt.
enum class AttemptResult {
  kAnswered,       // Complete response, status below 500.
  kServerError,    // Complete response, status 500 or above: executed.
  kFalseRefusal,   // Complete response whose status promises that the request
                   // was not executed, which the upstream did not state.
  kShed,           // The upstream reported that it did not execute it.
  kConnectFailed,  // No byte of the request was sent.
  kNoConnection,   // This node may open no more connections.
  kTimeout,        // Sent, but no complete response in time.
  kReset,          // Sent, then the connection broke.
  kPartialAnswer,  // The response started but did not complete.
  kCancelled,      // Cancelled by this node.
};

template <>
struct EnumNames<AttemptResult> {
  static constexpr auto kTable = std::to_array<NameEntry<AttemptResult>>({
      {AttemptResult::kAnswered, "answered"},
      {AttemptResult::kServerError, "server-error"},
      {AttemptResult::kFalseRefusal, "false-refusal"},
      {AttemptResult::kShed, "shed"},
      {AttemptResult::kConnectFailed, "connect-failed"},
      {AttemptResult::kNoConnection, "no-connection"},
      {AttemptResult::kTimeout, "timeout"},
      {AttemptResult::kReset, "reset"},
      {AttemptResult::kPartialAnswer, "partial-answer"},
      {AttemptResult::kCancelled, "cancelled"},
  });
};
static_assert(IsDense<AttemptResult>());

// Returns whether the caller may get the upstream's response to an attempt that
// ended with `result`. A promise that a request was not executed makes callers
// send it again, so a false one must not reach the caller of a request that is
// not `repeatable`. Thread-safe.
constexpr auto IsDeliverable(AttemptResult result, bool repeatable) -> bool {
  return result == AttemptResult::kAnswered ||
         result == AttemptResult::kServerError ||
         (result == AttemptResult::kFalseRefusal && repeatable);
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_ATTEMPT_H_
