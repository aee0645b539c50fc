#ifndef FLAMINGOYOKE_DECISION_DISPATCH_TEAM_LIMITER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_TEAM_LIMITER_H_

#include <cstddef>
#include <list>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// One token bucket for each team that was seen lately. The number of buckets
// is bounded: the least recently used one is dropped, and its team starts
// again with a full bucket. Not thread-safe.
class TeamLimiter {
 public:
  // `rate` is in requests per second, 0 for no limit; `burst` in requests.
  auto Configure(double rate, double burst) -> void;

  // Takes a token of `team`; returns whether there was one. A request without
  // a team shares the bucket of the empty team.
  auto Allow(const TeamId& team, TimePoint now) -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return buckets_.size(); }

  // About 150 bytes each, so at most 0.6 MB for each service on a node.
  static constexpr std::size_t kMaxTeams = 4096;

 private:
  struct Bucket {
    TeamId team;
    double tokens = 0;
    TimePoint refilled_at{};
  };

  auto FindOrAddBucket(const TeamId& team, TimePoint now) -> Bucket&;

  double rate_ = 0;
  double burst_ = 0;
  // Most recently used first.
  std::list<Bucket> buckets_;
  std::unordered_map<TeamId, std::list<Bucket>::iterator> index_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_DISPATCH_TEAM_LIMITER_H_
