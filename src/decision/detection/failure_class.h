#ifndef FLAMINGOYOKE_DECISION_DETECTION_FAILURE_CLASS_H_
#define FLAMINGOYOKE_DECISION_DETECTION_FAILURE_CLASS_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

// Classes of failures that are counted separately, since each has different
// possible causes other than the target.
enum class FailureClass {
  kServerError,  // 5xx: the network path works, so the target is at fault.
  kPath,         // Timeout, reset, failed connect, overdue attempt.
  kSlow,         // Answered, but much later than by the peers.
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
