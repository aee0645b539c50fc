#include "decision/memory/memory_budget.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace flamingoyoke {
namespace {

// Share of the budget that is kept for small requests, and that is freed at
// once above the limit: each choice of holders looks at all of them.
constexpr std::uint64_t kReserveDivisor = 16;

}  // namespace

auto MemoryBudget::OnEvent(const MemoryEvent& event, TimePoint now)
    -> std::vector<GiveWay> {
  return std::visit([&](const auto& typed) { return Handle(typed, now); },
                    event);
}

auto MemoryBudget::HasRoom(std::uint64_t bytes) const -> bool {
  const auto reserve =
      bytes <= limits_.small_bytes ? 0 : limits_.bytes / kReserveDivisor;
  const auto limit = limits_.bytes - reserve;
  return bytes <= limit && used() <= limit - bytes;
}

auto MemoryBudget::Handle(const MemoryHeld& event, TimePoint now)
    -> std::vector<GiveWay> {
  const auto [found, is_new] = holders_.try_emplace(event.holder);
  auto& holder = found->second;
  used_ += event.bytes;
  used_ -= std::exchange(holder.bytes, event.bytes);
  holder.reclaimable = event.reclaimable;
  if (is_new || event.has_progressed) {
    holder.progressed = now;
  }
  if (used() <= limits_.bytes) {
    return {};
  }
  return Free(used() - limits_.bytes + limits_.bytes / kReserveDivisor,
              Duration::zero(), now);
}

auto MemoryBudget::Handle(const MemoryReleased& event, TimePoint)
    -> std::vector<GiveWay> {
  const auto found = holders_.find(event.holder);
  if (found != holders_.end()) {
    used_ -= found->second.bytes;
    holders_.erase(found);
  }
  return {};
}

auto MemoryBudget::Handle(const MemoryWanted& event, TimePoint now)
    -> std::vector<GiveWay> {
  if (HasRoom(event.bytes)) {
    return {};
  }
  return Free(event.bytes + limits_.bytes / kReserveDivisor, limits_.patience,
              now);
}

auto MemoryBudget::Handle(const MemoryReclaimed& event, TimePoint now)
    -> std::vector<GiveWay> {
  return Free(event.bytes, limits_.patience, now);
}

auto MemoryBudget::Handle(const OtherMemoryHeld& event, TimePoint now)
    -> std::vector<GiveWay> {
  other_bytes_ = event.bytes;
  if (event.bytes <= event.limit / 4 * 3) {
    return {};
  }
  return Free(event.bytes - event.limit / 2, limits_.patience, now);
}

auto MemoryBudget::Free(std::uint64_t bytes, Duration idle, TimePoint now)
    -> std::vector<GiveWay> {
  struct Candidate {
    HolderId holder;
    double weight;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, holder] : holders_) {
    const auto waited = now - holder.progressed;
    if (holder.reclaimable > 0 && waited >= idle) {
      candidates.push_back({id, static_cast<double>(holder.reclaimable) *
                                    static_cast<double>(waited.count() + 1)});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.weight != b.weight ? a.weight > b.weight
                                          : a.holder < b.holder;
            });
  std::vector<GiveWay> actions;
  std::uint64_t freed = 0;
  for (const auto& candidate : candidates) {
    if (freed >= bytes) {
      break;
    }
    auto& holder = holders_.at(candidate.holder);
    freed += std::exchange(holder.reclaimable, 0);
    used_ -= std::exchange(holder.bytes, 0);
    actions.push_back({candidate.holder});
    ++given_way_;
  }
  return actions;
}

}  // namespace flamingoyoke
