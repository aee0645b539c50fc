#include "decision/fleet/home_set.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <unordered_map>

#include "decision/fleet/rendezvous.h"

namespace flamingoyoke {
namespace {

struct Scored {
  std::uint64_t score = 0;
  std::size_t index = 0;
  // Position among the candidates of the same failure domain.
  std::size_t rank = 0;
};

}  // namespace

auto IsServing(const Member& member) -> bool {
  return member.liveness == Liveness::kAlive && member.ready && !member.leaving;
}

auto HomeSetAmong(const ServiceId& service,
                  std::size_t size,
                  const std::vector<Member>& members,
                  const std::vector<std::size_t>& candidates)
    -> std::vector<std::size_t> {
  const auto key = HashOf(service.value());
  // Equal scores are ordered by id, so that every node decides the same.
  const auto is_better = [&](const Scored& a, const Scored& b) {
    return a.score != b.score ? a.score > b.score
                              : members[a.index].id < members[b.index].id;
  };
  std::unordered_map<FailureDomainId, std::vector<Scored>> best_by_domain;
  for (const auto index : candidates) {
    const Scored scored{RendezvousScore(key, HashOf(members[index].id.value())),
                        index, 0};
    auto& best = best_by_domain[members[index].failure_domain];
    best.insert(std::upper_bound(best.begin(), best.end(), scored, is_better),
                scored);
    if (best.size() > size) {
      best.pop_back();
    }
  }
  std::vector<Scored> ordered;
  for (auto& [domain, best] : best_by_domain) {
    for (std::size_t rank = 0; rank < best.size(); ++rank) {
      best[rank].rank = rank;
      ordered.push_back(best[rank]);
    }
  }
  std::sort(ordered.begin(), ordered.end(),
            [&](const Scored& a, const Scored& b) {
              return a.rank != b.rank ? a.rank < b.rank : is_better(a, b);
            });
  std::vector<std::size_t> home;
  for (std::size_t i = 0; i < std::min(size, ordered.size()); ++i) {
    home.push_back(ordered[i].index);
  }
  return home;
}

auto HomeSetOf(const ServiceId& service,
               std::size_t size,
               const std::vector<Member>& members) -> std::vector<std::size_t> {
  std::vector<std::size_t> serving;
  serving.reserve(members.size());
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (IsServing(members[i])) {
      serving.push_back(i);
    }
  }
  return HomeSetAmong(service, size, members, serving);
}

}  // namespace flamingoyoke
