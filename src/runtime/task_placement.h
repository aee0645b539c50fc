#ifndef FLAMINGOYOKE_RUNTIME_TASK_PLACEMENT_H_
#define FLAMINGOYOKE_RUNTIME_TASK_PLACEMENT_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

// Which loop a task runs on.
enum class TaskPlacement {
  kOwnThread,       // A loop of its own. For work that may take long or block.
  kSupervisorLoop,  // The loop of its supervisor, which it shares.
};

template <>
struct EnumNames<TaskPlacement> {
  static constexpr auto kTable = std::to_array<NameEntry<TaskPlacement>>({
      {TaskPlacement::kOwnThread, "own-thread"},
      {TaskPlacement::kSupervisorLoop, "supervisor-loop"},
  });
};
static_assert(IsDense<TaskPlacement>());

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_TASK_PLACEMENT_H_
