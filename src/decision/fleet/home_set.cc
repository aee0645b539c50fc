#include "decision/fleet/home_set.h"

#include <algorithm>
#include <unordered_map>

#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {

auto IsServing(const Member& member) -> bool {
  return member.liveness == Liveness::kAlive && member.ready && !member.leaving;
}

HomeCandidates::HomeCandidates(const std::vector<Member>& members,
                               const std::vector<std::size_t>& indexes)
    : members_(members) {
  std::unordered_map<FailureDomainId, std::size_t> positions;
  for (const auto index : indexes) {
    const auto& member = members[index];
    const auto position =
        positions.emplace(member.failure_domain, domains_.size());
    if (position.second) {
      domains_.emplace_back();
    }
    domains_[position.first->second].push_back(
        {HashOf(member.id.value()), index});
  }
}

auto HomeCandidates::Best(const ServiceId& service, std::size_t size) const
    -> std::vector<std::size_t> {
  const auto key = HashOf(service.value());
  std::vector<Scored> ordered;
  for (const auto& domain : domains_) {
    const auto best = BestOfDomain(domain, key, size);
    ordered.insert(ordered.end(), best.begin(), best.end());
  }
  std::sort(ordered.begin(), ordered.end(),
            [&](const Scored& a, const Scored& b) {
              return a.rank != b.rank ? a.rank < b.rank : IsBetter(a, b);
            });
  std::vector<std::size_t> home;
  for (std::size_t i = 0; i < std::min(size, ordered.size()); ++i) {
    home.push_back(ordered[i].index);
  }
  return home;
}

// Ties are broken by id, so that every node gets the same order.
auto HomeCandidates::IsBetter(const Scored& a, const Scored& b) const -> bool {
  return a.score != b.score ? a.score > b.score
                            : members_[a.index].id < members_[b.index].id;
}

auto HomeCandidates::BestOfDomain(const std::vector<Candidate>& domain,
                                  std::uint64_t key,
                                  std::size_t size) const
    -> std::vector<Scored> {
  std::vector<Scored> best;
  for (const auto& candidate : domain) {
    const Scored scored{RendezvousScore(key, candidate.hash), candidate.index,
                        0};
    if (best.size() >= size &&
        (best.empty() || !IsBetter(scored, best.back()))) {
      continue;
    }
    const auto position = std::upper_bound(
        best.begin(), best.end(), scored,
        [&](const Scored& a, const Scored& b) { return IsBetter(a, b); });
    best.insert(position, scored);
    if (best.size() > size) {
      best.pop_back();
    }
  }
  for (std::size_t rank = 0; rank < best.size(); ++rank) {
    best[rank].rank = rank;
  }
  return best;
}

auto ServingIndexes(const std::vector<Member>& members)
    -> std::vector<std::size_t> {
  std::vector<std::size_t> serving;
  serving.reserve(members.size());
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (IsServing(members[i])) {
      serving.push_back(i);
    }
  }
  return serving;
}

}  // namespace flamingoyoke
