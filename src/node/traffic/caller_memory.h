#ifndef FLAMINGOYOKE_NODE_TRAFFIC_CALLER_MEMORY_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_CALLER_MEMORY_H_

#include <array>
#include <cstdint>
#include <functional>
#include <unordered_map>
#include <vector>

#include "core/name_table.h"
#include "core/time.h"
#include "decision/memory/memory_budget.h"
#include "node/log.h"
#include "node/messages.h"

namespace flamingoyoke {

// Limits for which callers are refused or their connections closed.
enum class CallerLimit {
  kBodies,       // Sum of the request bodies.
  kMemory,       // Memory for callers: a request was refused.
  kProgress,     // The same: a caller without progress gave way.
  kConnections,  // Number of connections.
  kTime,         // Time for a request or for reading an answer.
};

template <>
struct EnumNames<CallerLimit> {
  static constexpr auto kTable = std::to_array<NameEntry<CallerLimit>>({
      {CallerLimit::kBodies, "bodies"},
      {CallerLimit::kMemory, "memory"},
      {CallerLimit::kProgress, "progress"},
      {CallerLimit::kConnections, "connections"},
      {CallerLimit::kTime, "time"},
  });
};
static_assert(IsDense<CallerLimit>());

// Counts the memory held for callers, asks those to give way that MemoryBudget
// chooses, and logs which limits turned callers away. Not thread-safe.
class CallerMemory {
 public:
  // Memory held for one connection or request, released by the destructor. Must
  // not outlive the CallerMemory.
  class Share {
   public:
    // `on_give_way` is called within Set() or MakeRoom() of any share. It must
    // free what it can and must not destroy a share. Without it, the share
    // never gives way.
    explicit Share(CallerMemory& memory,
                   std::function<void()> on_give_way = {});
    Share(const Share&) = delete;
    auto operator=(const Share&) -> Share& = delete;
    ~Share();

    // Sets what is held and how much of it may give way; see MemoryHeld.
    auto Set(std::uint64_t bytes,
             std::uint64_t reclaimable = 0,
             bool has_progressed = false) -> void;

   private:
    friend class CallerMemory;

    CallerMemory& memory_;
    const HolderId id_;
    const std::function<void()> on_give_way_;
  };

  // `others` returns the memory that is limited elsewhere; it may be empty.
  CallerMemory(Part log_part,
               const MemoryBudget::Limits& limits,
               std::function<OtherMemoryHeld()> others);
  CallerMemory(const CallerMemory&) = delete;
  auto operator=(const CallerMemory&) -> CallerMemory& = delete;

  // Returns whether `bytes` more may be held, after callers without progress
  // gave way.
  auto MakeRoom(std::uint64_t bytes) -> bool;
  // Lets callers without progress give way that hold `bytes` together.
  auto Reclaim(std::uint64_t bytes) -> void;

  // Counts a caller that was turned away, and logs it.
  auto CountTurnedAway(CallerLimit limit) -> void;

  auto AppendTo(std::vector<MetricSample>& samples) const -> void;
  [[nodiscard]] auto used() const -> std::uint64_t { return budget_.used(); }

 private:
  auto Post(const MemoryEvent& event) -> void;
  auto UpdateOthers() -> void;

  const Part log_part_;
  const std::function<OtherMemoryHeld()> others_;
  MemoryBudget budget_;
  std::uint64_t last_id_ = 0;
  std::unordered_map<HolderId, Share*> shares_;
  std::array<std::uint64_t, kEnumSize<CallerLimit>> turned_away_{};
  TimePoint next_log_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_CALLER_MEMORY_H_
