#include "decision/fleet/peer_selection.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string>
#include <utility>

#include "decision/fleet/membership_timing.h"
#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

using Group = std::vector<const MemberRecord*>;

// The closest successor and predecessor of this VM on a hash ring.
class Neighbours {
 public:
  Neighbours(std::uint64_t salt, std::uint64_t self)
      : salt_(salt), position_(RendezvousScore(salt, self)) {}

  auto Consider(const MemberRecord& record) -> void {
    const auto distance = RendezvousScore(salt_, record.hash) - position_;
    if (after_ == nullptr || distance < after_distance_) {
      after_ = &record;
      after_distance_ = distance;
    }
    if (before_ == nullptr || distance > before_distance_) {
      before_ = &record;
      before_distance_ = distance;
    }
  }

  [[nodiscard]] auto after() const -> const MemberRecord* { return after_; }
  [[nodiscard]] auto before() const -> const MemberRecord* { return before_; }

 private:
  std::uint64_t salt_;
  std::uint64_t position_;
  const MemberRecord* after_ = nullptr;
  const MemberRecord* before_ = nullptr;
  std::uint64_t after_distance_ = 0;
  std::uint64_t before_distance_ = 0;
};

// An ordered set of peers of limited size.
class PeerSelection {
 public:
  auto Add(const VmId& vm) -> void {
    if (chosen_.size() < kMaxChosenPeers && seen_.insert(vm).second) {
      chosen_.push_back(vm);
    }
  }
  auto Add(const MemberRecord* record) -> void {
    if (record != nullptr) {
      Add(record->member.id);
    }
  }
  auto Take() -> std::vector<VmId> { return std::move(chosen_); }

 private:
  std::vector<VmId> chosen_;
  std::set<VmId> seen_;
};

auto AddRingNeighbours(const std::string& name,
                       std::uint64_t self,
                       const Group& domain,
                       PeerSelection& selection) -> void {
  Neighbours ring(HashOf("ring " + name), self);
  for (const auto* record : domain) {
    ring.Consider(*record);
  }
  selection.Add(ring.after());
  selection.Add(ring.before());
}

// Adds the neighbours on the ring of both groups that belong to the other
// group.
auto AddCrossGroupNeighbours(std::string own_name,
                             const Group& own,
                             std::string other_name,
                             const Group& other,
                             std::uint64_t self,
                             PeerSelection& selection) -> void {
  if (other_name < own_name) {
    own_name.swap(other_name);
  }
  Neighbours ring(HashOf("relay " + own_name + " " + other_name), self);
  for (const auto* record : own) {
    ring.Consider(*record);
  }
  for (const auto* record : other) {
    ring.Consider(*record);
  }
  for (const auto* record : {ring.after(), ring.before()}) {
    if (std::find(other.begin(), other.end(), record) != other.end()) {
      selection.Add(record);
    }
  }
}

// Returns `first` and then the home peers with the lowest score of the pair of
// ids. The score is symmetric, so both sides rank the pair alike.
auto BestHomePeers(const Member& self,
                   const MemberList::Records& records,
                   const std::set<VmId>& home_peers,
                   const std::vector<VmId>& first) -> std::vector<VmId> {
  std::vector<std::pair<std::uint64_t, VmId>> scored;
  const auto own_hash = HashOf(self.id.value());
  for (const auto& vm : home_peers) {
    const auto found = records.find(vm);
    if (found != records.end() && IsPresent(found->second)) {
      scored.emplace_back(own_hash ^ found->second.hash, vm);
    }
  }
  std::sort(scored.begin(), scored.end());
  std::vector<VmId> best;
  const auto add = [&](const VmId& vm) {
    if (best.size() < kMaxHomePeers &&
        std::find(best.begin(), best.end(), vm) == best.end()) {
      best.push_back(vm);
    }
  };
  for (const auto& vm : first) {
    const auto found = records.find(vm);
    if (vm != self.id && found != records.end() && IsPresent(found->second)) {
      add(vm);
    }
  }
  for (const auto& [score, vm] : scored) {
    add(vm);
  }
  return best;
}

}  // namespace

auto SelectPeers(const Member& self,
                 const MemberList::Records& records,
                 const std::set<VmId>& home_peers,
                 const std::vector<VmId>& first) -> std::vector<VmId> {
  Group own_region;
  std::map<FailureDomainId, Group> domains;
  std::map<RegionId, Group> other_regions;
  for (const auto& [vm, record] : records) {
    if (!IsPresent(record)) {
      continue;
    }
    if (record.member.region == self.region) {
      own_region.push_back(&record);
      domains[record.member.failure_domain].push_back(&record);
    } else {
      other_regions[record.member.region].push_back(&record);
    }
  }
  const auto hash = HashOf(self.id.value());
  PeerSelection selection;
  const auto own_domain = domains[self.failure_domain];
  AddRingNeighbours("one", hash, own_domain, selection);
  for (const auto& vm : BestHomePeers(self, records, home_peers, first)) {
    selection.Add(vm);
  }
  AddRingNeighbours("two", hash, own_domain, selection);
  for (const auto& [domain, group] : domains) {
    if (domain != self.failure_domain) {
      AddCrossGroupNeighbours(self.failure_domain.value(), own_domain,
                              domain.value(), group, hash, selection);
    }
  }
  for (const auto& [region, group] : other_regions) {
    AddCrossGroupNeighbours(self.region.value(), own_region, region.value(),
                            group, hash, selection);
  }
  return selection.Take();
}

}  // namespace flamingoyoke
