#ifndef FLAMINGOYOKE_DECISION_MEMORY_MEMORY_BUDGET_H_
#define FLAMINGOYOKE_DECISION_MEMORY_MEMORY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "decision/memory/memory_event.h"

namespace flamingoyoke {

// Decides who gives way when the memory that a process may hold for callers and
// targets is used up. Not thread-safe.
class MemoryBudget {
 public:
  struct Limits {
    std::uint64_t bytes = 64ULL << 20;
    // A holder without progress for this long gives way to others that want
    // memory. Above the limit, holders give way whatever their progress.
    Duration patience = std::chrono::seconds(1);
    // Only holders that want at most this much may use the last part of the
    // budget, so that small requests are served while large ones wait.
    std::uint64_t small_bytes = 16 << 10;
  };

  explicit MemoryBudget(const Limits& limits) : limits_(limits) {}

  auto OnEvent(const MemoryEvent& event, TimePoint now) -> std::vector<GiveWay>;

  // Whether `bytes` more may be held.
  [[nodiscard]] auto HasRoom(std::uint64_t bytes) const -> bool;
  [[nodiscard]] auto used() const -> std::uint64_t {
    return used_ + other_bytes_;
  }
  // Number of holders that gave way.
  [[nodiscard]] auto given_way() const -> std::uint64_t { return given_way_; }

 private:
  struct Holder {
    std::uint64_t bytes = 0;
    std::uint64_t reclaimable = 0;
    TimePoint progressed;
  };

  auto Handle(const MemoryHeld& event, TimePoint now) -> std::vector<GiveWay>;
  auto Handle(const MemoryReleased& event, TimePoint now)
      -> std::vector<GiveWay>;
  auto Handle(const MemoryWanted& event, TimePoint now) -> std::vector<GiveWay>;
  auto Handle(const MemoryReclaimed& event, TimePoint now)
      -> std::vector<GiveWay>;
  auto Handle(const OtherMemoryHeld& event, TimePoint now)
      -> std::vector<GiveWay>;
  // Lets holders without progress for `idle` give way until `bytes` are free or
  // none is left.
  auto Free(std::uint64_t bytes, Duration idle, TimePoint now)
      -> std::vector<GiveWay>;

  const Limits limits_;
  std::unordered_map<HolderId, Holder> holders_;
  std::uint64_t used_ = 0;
  std::uint64_t other_bytes_ = 0;
  std::uint64_t given_way_ = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_MEMORY_MEMORY_BUDGET_H_
