#include "decision/detection/capacity_floor.h"

#include <algorithm>
#include <tuple>

namespace flamingoyoke {
namespace {

// Absorbs rounding in sums of weights.
constexpr double kTolerance = 1e-9;

// Returns the rank of a state in the order in which targets are brought back.
// An unreachable target comes last, since no request from this node succeeds
// there.
auto RestoreRankOf(TargetState state) -> int {
  switch (state) {
    case TargetState::kHealthy:
    case TargetState::kRamping:
      return 0;
    case TargetState::kTrial:
      return 1;
    case TargetState::kEjected:
      return 2;
    case TargetState::kUnreachable:
    case TargetState::kDraining:
      return 3;
  }
  return 3;
}

}  // namespace

auto UsedShare(const std::vector<FloorEntry>& entries) -> double {
  double total = 0;
  double used = 0;
  for (const auto& entry : entries) {
    total += entry.weight;
    used += entry.weight * entry.share;
  }
  return total > 0 ? used / total : 1;
}

auto ApplyFloor(std::vector<FloorEntry>& entries, double floor) -> void {
  if (UsedShare(entries) >= floor - kTolerance) {
    return;
  }
  std::vector<FloorEntry*> order;
  for (auto& entry : entries) {
    if (entry.share < 1 && entry.state != TargetState::kDraining) {
      order.push_back(&entry);
    }
  }
  std::sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
    return std::make_tuple(RestoreRankOf(a->state), a->severity, a->target) <
           std::make_tuple(RestoreRankOf(b->state), b->severity, b->target);
  });
  for (auto* entry : order) {
    if (UsedShare(entries) >= floor - kTolerance) {
      return;
    }
    entry->share = 1;
    entry->is_raised_by_floor = true;
  }
}

}  // namespace flamingoyoke
