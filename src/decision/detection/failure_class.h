#ifndef FLAMINGOYOKE_DECISION_DETECTION_FAILURE_CLASS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_FAILURE_CLASS_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

// Kinds of evidence against a target that are counted apart, since they differ
// in what else could have caused them.
enum class FailureClass {
  kServerError,  // 5xx: the path works, so the target itself is at fault.
  kPath,         // Timeout, reset, failed connect, overdue attempt.
  kSlow,         // Answered, but far later than the peers.
};

template <>
struct EnumNames<FailureClass> {
  static constexpr auto kTable = std::to_array<NameEntry<FailureClass>>({
      {FailureClass::kServerError, "server-error"},
      {FailureClass::kPath, "path"},
      {FailureClass::kSlow, "slow"},
  });
};
static_assert(IsDense<FailureClass>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DETECTION_FAILURE_CLASS_H_
