#include "decision/fleet/home_index.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "decision/fleet/placement.h"

namespace flamingoyoke {
namespace {

// With more joined VMs than this, a full search costs no more than comparing
// them with each home set.
constexpr std::size_t kMaxJoinedCompared = 64;

// The difference between two sets of serving VMs.
struct ServingChange {
  std::set<VmId> serving;
  std::set<VmId> removed;
  // Indexes of the joined VMs.
  std::vector<std::size_t> joined;
};

auto CompareServing(const std::set<VmId>& before,
                    const std::vector<Member>& members,
                    const std::vector<std::size_t>& serving) -> ServingChange {
  ServingChange change;
  for (const auto index : serving) {
    change.serving.insert(members[index].id);
    if (before.count(members[index].id) == 0) {
      change.joined.push_back(index);
    }
  }
  for (const auto& vm : before) {
    if (change.serving.count(vm) == 0) {
      change.removed.insert(vm);
    }
  }
  return change;
}

auto IdsOf(const std::vector<Member>& members,
           const std::vector<std::size_t>& indexes) -> std::vector<VmId> {
  std::vector<VmId> ids;
  ids.reserve(indexes.size());
  for (const auto index : indexes) {
    ids.push_back(members[index].id);
  }
  return ids;
}

}  // namespace

auto HomeIndex::Update(const std::vector<Member>& members,
                       const std::vector<ServiceRow>& rows) -> void {
  const auto indexes = ServingIndexes(members);
  auto change = CompareServing(serving_, members, indexes);
  std::optional<HomeCandidates> all;
  std::unordered_map<VmId, std::size_t> positions;
  if (!change.joined.empty()) {
    for (const auto index : indexes) {
      positions[members[index].id] = index;
    }
  }
  std::unordered_map<ServiceId, Home> homes;
  homes.reserve(rows.size());
  for (const auto& row : rows) {
    auto& home = homes[row.service];
    const auto known = homes_.find(row.service);
    if (known != homes_.end() && known->second.size == row.home) {
      home = std::move(known->second);
    }
    const bool lost_member = std::any_of(
        home.vms.begin(), home.vms.end(),
        [&](const VmId& vm) { return change.removed.count(vm) > 0; });
    if (home.size != row.home || lost_member ||
        change.joined.size() > kMaxJoinedCompared) {
      if (!all) {
        all.emplace(members, indexes);
      }
      home = {row.home, IdsOf(members, all->Best(row.service, row.home))};
      continue;
    }
    if (!change.joined.empty()) {
      // A joined VM can only displace others, so the new home set is a subset
      // of the old one and the joined VMs.
      auto candidates = change.joined;
      for (const auto& vm : home.vms) {
        candidates.push_back(positions.at(vm));
      }
      home.vms = IdsOf(
          members,
          HomeCandidates(members, candidates).Best(row.service, row.home));
    }
  }
  homes_ = std::move(homes);
  serving_ = std::move(change.serving);
}

auto HomeIndex::HomeOf(const ServiceId& service) const
    -> const std::vector<VmId>& {
  static const std::vector<VmId> none;
  const auto found = homes_.find(service);
  return found == homes_.end() ? none : found->second.vms;
}

auto HomeIndex::PlacementsOf(const VmId& vm,
                             const std::vector<ServiceRow>& rows) const
    -> std::unordered_map<ServiceId, Placement> {
  std::unordered_map<ServiceId, Placement> placements;
  for (const auto& row : rows) {
    const auto& home = HomeOf(row.service);
    if (std::find(home.begin(), home.end(), vm) != home.end()) {
      placements[row.service] = {home, OwnersOf(row.targets, home)};
    }
  }
  return placements;
}

}  // namespace flamingoyoke
