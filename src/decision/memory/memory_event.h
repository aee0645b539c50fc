#ifndef FLAMINGOYOKE_DECISION_MEMORY_MEMORY_EVENT_H_
#define FLAMINGOYOKE_DECISION_MEMORY_MEMORY_EVENT_H_

#include <cstdint>
#include <variant>

#include "core/ids.h"

namespace flamingoyoke {

// A connection or request that holds memory; unique within the process.
using HolderId = NumberId<struct HolderTag>;

// Input events of MemoryBudget.

// What a holder holds now.
struct MemoryHeld {
  HolderId holder;
  std::uint64_t bytes = 0;
  // Freed if the holder gives way. It may be more than `bytes`, when the rest
  // is counted in OtherMemoryHeld. 0 if the holder must not give way.
  std::uint64_t reclaimable = 0;
  // Whether the holder moved on since it was last held.
  bool has_progressed = false;
};

struct MemoryReleased {
  HolderId holder;
};

// Someone is about to hold so many bytes more.
struct MemoryWanted {
  std::uint64_t bytes = 0;
};

// A limit of another kind is used up: holders without progress give way that
// hold so many bytes together.
struct MemoryReclaimed {
  std::uint64_t bytes = 0;
};

// Memory that is limited by rules of its own and uses up the same budget.
struct OtherMemoryHeld {
  std::uint64_t bytes = 0;
  std::uint64_t limit = 0;
};

using MemoryEvent = std::variant<MemoryHeld,
                                 MemoryReleased,
                                 MemoryWanted,
                                 MemoryReclaimed,
                                 OtherMemoryHeld>;

// Output action of MemoryBudget: the holder must free what it holds.
struct GiveWay {
  HolderId holder;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_MEMORY_MEMORY_EVENT_H_
