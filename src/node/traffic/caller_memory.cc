#include "node/traffic/caller_memory.h"

#include <string>
#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

constexpr Duration kLogPeriod = std::chrono::seconds(10);

}  // namespace

CallerMemory::Share::Share(CallerMemory& memory,
                           std::function<void()> on_give_way)
    : memory_(memory),
      id_(++memory.last_id_),
      on_give_way_(std::move(on_give_way)) {
  memory_.shares_.emplace(id_, this);
}

CallerMemory::Share::~Share() {
  memory_.shares_.erase(id_);
  memory_.Post(MemoryReleased{id_});
}

auto CallerMemory::Share::Set(std::uint64_t bytes,
                              std::uint64_t reclaimable,
                              bool has_progressed) -> void {
  memory_.UpdateOthers();
  memory_.Post(
      MemoryHeld{id_, bytes, on_give_way_ ? reclaimable : 0, has_progressed});
}

CallerMemory::CallerMemory(Part log_part,
                           const MemoryBudget::Limits& limits,
                           std::function<OtherMemoryHeld()> others)
    : log_part_(log_part), others_(std::move(others)), budget_(limits) {}

auto CallerMemory::MakeRoom(std::uint64_t bytes) -> bool {
  UpdateOthers();
  Post(MemoryWanted{bytes});
  return budget_.HasRoom(bytes);
}

auto CallerMemory::Reclaim(std::uint64_t bytes) -> void {
  Post(MemoryReclaimed{bytes});
}

auto CallerMemory::CountTurnedAway(CallerLimit limit) -> void {
  ++turned_away_[static_cast<std::size_t>(limit)];
  const auto now = Now();
  if (now < next_log_) {
    return;
  }
  next_log_ = now + kLogPeriod;
  std::string counts;
  for (const auto& entry : EnumNames<CallerLimit>::kTable) {
    counts +=
        " " + std::string(entry.name) + "=" +
        std::to_string(turned_away_[static_cast<std::size_t>(entry.value)]);
  }
  Log(log_part_, LogLevel::kWarning,
      "callers turned away so far by limit:" + counts + "; " +
          std::to_string(budget_.used()) + " bytes are held for callers");
}

auto CallerMemory::AppendTo(std::vector<MetricSample>& samples) const -> void {
  samples.push_back({.name = "flamingoyoke_caller_memory_bytes",
                     .help = "Memory held for callers and answers.",
                     .is_counter = false,
                     .value = static_cast<double>(budget_.used())});
  for (const auto& entry : EnumNames<CallerLimit>::kTable) {
    samples.push_back(
        {.name = "flamingoyoke_callers_turned_away_by_" +
                 std::string(entry.name) + "_total",
         .help = "Requests refused and connections closed by a limit.",
         .value = static_cast<double>(
             turned_away_[static_cast<std::size_t>(entry.value)])});
  }
}

auto CallerMemory::Post(const MemoryEvent& event) -> void {
  for (const auto& action : budget_.OnEvent(event, Now())) {
    const auto found = shares_.find(action.holder);
    if (found != shares_.end()) {
      found->second->on_give_way_();
    }
  }
}

auto CallerMemory::UpdateOthers() -> void {
  if (others_) {
    Post(others_());
  }
}

}  // namespace flamingoyoke
