#ifndef FLAMINGOYOKE_DECISION_DISPATCH_ATTEMPT_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_ATTEMPT_H_

#include <array>

#include "core/ids.h"
#include "core/name_table.h"

namespace flamingoyoke {

// One try of a request on one target; unique within the process.
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

// How an attempt ended.
enum class AttemptResult {
  kAnswered,       // A whole answer below 500.
  kServerError,    // A whole answer of 500 or above: the upstream ran it.
  kShed,           // The upstream said that it did not run it.
  kConnectFailed,  // No byte of the request was written.
  kTimeout,        // Written, no whole answer in time.
  kReset,          // Written, then the connection broke.
  kPartialAnswer,  // The answer began and did not end.
  kCancelled,      // Cancelled by this node.
};

template <>
struct EnumNames<AttemptResult> {
  static constexpr auto kTable = std::to_array<NameEntry<AttemptResult>>({
      {AttemptResult::kAnswered, "answered"},
      {AttemptResult::kServerError, "server-error"},
      {AttemptResult::kShed, "shed"},
      {AttemptResult::kConnectFailed, "connect-failed"},
      {AttemptResult::kTimeout, "timeout"},
      {AttemptResult::kReset, "reset"},
      {AttemptResult::kPartialAnswer, "partial-answer"},
      {AttemptResult::kCancelled, "cancelled"},
  });
};
static_assert(IsDense<AttemptResult>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_ATTEMPT_H_
