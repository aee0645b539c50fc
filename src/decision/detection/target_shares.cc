#include "decision/detection/target_shares.h"

#include <cstddef>

#include "decision/detection/capacity_floor.h"

namespace flamingoyoke {

auto TargetShares::Update(const ServiceRow& row,
                          std::vector<DesiredShare> desired,
                          TimePoint now) -> std::vector<SetTargetShare> {
  std::vector<FloorEntry> entries;
  for (std::size_t i = 0; i < desired.size(); ++i) {
    const auto& status = desired[i].status;
    entries.push_back({status.target, row.targets[i].weight, status.state,
                       desired[i].severity, status.share, false});
  }
  healthy_share_ = UsedShare(entries);
  ApplyFloor(entries, row.floor);
  std::vector<SetTargetShare> changes;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    auto& status = desired[i].status;
    status.share = entries[i].share;
    if (entries[i].is_raised_by_floor) {
      status.reason += ", in use for the floor";
    }
    auto& current = statuses_[status.target];
    const bool is_new = current.target.empty();
    const bool is_changed = is_new || current.state != status.state ||
                            current.reason != status.reason;
    if (!is_changed && current.share == status.share) {
      continue;
    }
    status.since = is_changed ? now : current.since;
    current = status;
    changes.push_back(
        {status.target, status.share, status.state, status.reason});
  }
  return changes;
}

auto TargetShares::Retain(const std::set<TargetId>& targets) -> void {
  std::erase_if(statuses_, [&](const auto& entry) {
    return !targets.contains(entry.first);
  });
}

}  // namespace flamingoyoke
