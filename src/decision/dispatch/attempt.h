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

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_ATTEMPT_H_
