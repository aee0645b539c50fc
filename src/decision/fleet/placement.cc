#include "decision/fleet/placement.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "decision/fleet/home_set.h"
#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

struct ScoredPair {
  std::uint64_t score = 0;
  std::size_t target = 0;
  std::size_t member = 0;
};

auto RankedPairs(const std::vector<TargetSpec>& targets,
                 const std::vector<VmId>& home) -> std::vector<ScoredPair> {
  std::vector<ScoredPair> pairs;
  pairs.reserve(targets.size() * home.size());
  for (std::size_t t = 0; t < targets.size(); ++t) {
    const auto key = HashOf(targets[t].id.value());
    for (std::size_t m = 0; m < home.size(); ++m) {
      pairs.push_back({RendezvousScore(key, HashOf(home[m].value())), t, m});
    }
  }
  std::sort(pairs.begin(), pairs.end(),
            [&](const ScoredPair& a, const ScoredPair& b) {
              if (a.score != b.score) {
                return a.score > b.score;
              }
              return a.target != b.target ? a.target < b.target
                                          : a.member < b.member;
            });
  return pairs;
}

}  // namespace

// Assigns pairs by descending score, skipping members at capacity. The result
// is the stable matching of targets and members, so a change of the home set
// moves only targets that the change displaces.
auto OwnersOf(const std::vector<TargetSpec>& targets,
              const std::vector<VmId>& home) -> std::vector<VmId> {
  std::vector<VmId> owners(targets.size());
  if (home.empty()) {
    return owners;
  }
  const auto floor = targets.size() / home.size();
  // The first members of the home set own one more target each.
  const auto remainder = targets.size() % home.size();
  std::vector<std::size_t> remaining_capacity(home.size(), floor);
  for (std::size_t m = 0; m < remainder; ++m) {
    ++remaining_capacity[m];
  }
  for (const auto& pair : RankedPairs(targets, home)) {
    if (owners[pair.target].empty() && remaining_capacity[pair.member] > 0) {
      owners[pair.target] = home[pair.member];
      --remaining_capacity[pair.member];
    }
  }
  return owners;
}

auto PlacementOf(const ServiceRow& row, const std::vector<Member>& members)
    -> Placement {
  Placement placement;
  const HomeCandidates candidates(members, ServingIndexes(members));
  for (const auto index : candidates.Best(row.service, row.home)) {
    placement.home.push_back(members[index].id);
  }
  placement.owners = OwnersOf(row.targets, placement.home);
  return placement;
}

}  // namespace flamingoyoke
