#include "decision/fleet/entry_set.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

#include "decision/fleet/home_set.h"
#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

// Rendezvous key of the entry set; stands in for a service id.
constexpr std::string_view kGatewayKey = "gateway";
// Capacity assumed for a VM that does not announce any.
constexpr VmResources kDefaultCapacity = {1000, 1'000'000};

auto IsActive(const Member& member) -> bool {
  return member.liveness == Liveness::kAlive && !member.leaving;
}

// Returns whether the store is expected to answer the VM.
auto CanRead(const Member& member, const std::set<VmId>& silent) -> bool {
  return !member.lost_source && !silent.contains(member.id);
}

auto CapacityOf(const Member& member) -> const VmResources& {
  return member.capacity == VmResources() ? kDefaultCapacity : member.capacity;
}

// Returns the members at `indexes` in the order in which they become entries:
// the strongest of each failure domain, then the second strongest of each, and
// so on. Ties are broken by rendezvous hashing.
auto RankByCapacity(const std::vector<Member>& members,
                    const std::vector<std::size_t>& indexes)
    -> std::vector<std::size_t> {
  struct Candidate {
    std::size_t index = 0;
    std::uint64_t score = 0;
    std::size_t rank = 0;
  };
  const auto key = HashOf(kGatewayKey);
  std::map<FailureDomainId, std::vector<Candidate>> domains;
  for (const auto index : indexes) {
    const auto& member = members[index];
    domains[member.failure_domain].push_back(
        {index, RendezvousScore(key, HashOf(member.id.value()))});
  }
  const auto is_better = [&](const Candidate& a, const Candidate& b) {
    const auto order = [&](const Candidate& each) {
      const auto& capacity = CapacityOf(members[each.index]);
      return std::tuple(capacity.processor_millicores, capacity.link_kbps,
                        each.score);
    };
    return order(a) != order(b) ? order(a) > order(b)
                                : members[a.index].id < members[b.index].id;
  };
  std::vector<Candidate> ordered;
  for (auto& [domain, candidates] : domains) {
    std::sort(candidates.begin(), candidates.end(), is_better);
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
      candidates[rank].rank = rank;
      ordered.push_back(candidates[rank]);
    }
  }
  std::sort(ordered.begin(), ordered.end(),
            [&](const Candidate& a, const Candidate& b) {
              return a.rank != b.rank ? a.rank < b.rank : is_better(a, b);
            });
  std::vector<std::size_t> ranked;
  ranked.reserve(ordered.size());
  for (const auto& candidate : ordered) {
    ranked.push_back(candidate.index);
  }
  return ranked;
}

auto TopRankedVms(const std::vector<Member>& members,
                  const std::vector<std::size_t>& indexes,
                  std::size_t size) -> std::vector<VmId> {
  std::vector<VmId> vms;
  for (const auto index : RankByCapacity(members, indexes)) {
    if (vms.size() == size) {
      break;
    }
    vms.push_back(members[index].id);
  }
  return vms;
}

// Returns the link load in kbit/s per millicore of processor load; 0 if there
// is no load. Rounded to a power of two so that weights stay stable while the
// request mix changes slightly.
auto LinkPerMillicore(double processor_millicores, double link_kbps) -> double {
  if (link_kbps <= 0) {
    return 0;
  }
  return std::exp2(
      std::round(std::log2(link_kbps / std::max(processor_millicores, 1.0))));
}

// Returns the processor load, in millicores, that a VM can take given its
// processor and its link.
auto WeightOf(const Member& member, double link_per_millicore)
    -> std::uint32_t {
  const auto& capacity = CapacityOf(member);
  const auto processor = static_cast<double>(capacity.processor_millicores);
  const auto link =
      link_per_millicore > 0
          ? static_cast<double>(capacity.link_kbps) / link_per_millicore
          : processor;
  return static_cast<std::uint32_t>(std::max(std::min(processor, link), 1.0));
}

}  // namespace

auto EntrySet::Peak::Add(double sum, TimePoint now) -> void {
  if (sum >= value || now - reached >= kPeakWindow) {
    value = sum;
    reached = now;
  }
}

auto EntrySet::Update(const std::vector<Member>& members, TimePoint now)
    -> std::vector<EntryVm> {
  const auto serving = ServingIndexes(members);
  double processor_millicores = 0;
  double link_kbps = 0;
  for (const auto index : serving) {
    processor_millicores += members[index].load.processor_millicores;
    link_kbps += members[index].load.link_kbps;
  }
  processor_millicores_.Add(processor_millicores, now);
  link_kbps_.Add(link_kbps, now);
  const auto link_per_millicore =
      LinkPerMillicore(processor_millicores_.value, link_kbps_.value);
  const auto demand = link_per_millicore > 0
                          ? std::max(processor_millicores_.value,
                                     link_kbps_.value / link_per_millicore)
                          : processor_millicores_.value;
  double fleet = 0;
  for (const auto index : serving) {
    fleet += WeightOf(members[index], link_per_millicore);
  }
  const auto required =
      std::max(demand / kTargetUtilization, fleet * kMinFleetCapacityShare);
  std::vector<EntryVm> entries;
  double covered = 0;
  for (const auto index : RankByCapacity(members, serving)) {
    if (entries.size() >= min_entries_ && covered >= required) {
      break;
    }
    const auto weight = WeightOf(members[index], link_per_millicore);
    entries.push_back({members[index].id, weight});
    covered += weight;
  }
  return entries;
}

auto EntriesForCaller(const std::vector<EntryVm>& entries,
                      std::string_view caller,
                      std::size_t count) -> std::vector<VmId> {
  // Weighted rendezvous hashing: entries are ordered by exponentially
  // distributed values with the weight as rate.
  std::vector<std::pair<double, const EntryVm*>> ordered;
  const auto key = HashOf(caller);
  for (const auto& entry : entries) {
    const auto score = RendezvousScore(key, HashOf(entry.vm.value()));
    const auto uniform = std::ldexp(static_cast<double>(score) + 1, -64);
    ordered.emplace_back(-std::log(uniform) / entry.weight, &entry);
  }
  std::sort(ordered.begin(), ordered.end());
  std::vector<VmId> vms;
  for (std::size_t i = 0; i < std::min(count, ordered.size()); ++i) {
    vms.push_back(ordered[i].second->vm);
  }
  return vms;
}

auto ReaderVms(const std::vector<Member>& members,
               std::size_t size,
               const std::set<VmId>& silent) -> std::vector<VmId> {
  std::vector<std::size_t> with_source;
  std::vector<std::size_t> without_source;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const auto& member = members[i];
    if (IsActive(member)) {
      (CanRead(member, silent) ? with_source : without_source).push_back(i);
    }
  }
  auto readers = TopRankedVms(members, with_source, size);
  for (const auto& vm :
       TopRankedVms(members, without_source, size - readers.size())) {
    readers.push_back(vm);
  }
  return readers;
}

auto AnyCanRead(const std::vector<Member>& members,
                const std::set<VmId>& silent) -> bool {
  return std::any_of(members.begin(), members.end(), [&](const Member& member) {
    return IsActive(member) && CanRead(member, silent);
  });
}

}  // namespace flamingoyoke
