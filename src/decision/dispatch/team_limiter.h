#ifndef FLAMINGOYOKE_DECISION_DISPATCH_TEAM_LIMITER_H_
#define FLAMINGOYOKE_DECISION_DISPATCH_TEAM_LIMITER_H_

#include <cstddef>
#include <list>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"

namespace flamingoyoke {

// Rate limiter with one token bucket per team. The number of buckets is
// bounded: the least recently used one is evicted, and its team starts again
// with a full bucket. Not thread-safe.
class TeamLimiter {
 public:
  // `rate` is in requests per second, 0 disables the limit; `burst` is in
  // requests.
  auto Configure(double rate, double burst) -> void;

  // Consumes a token of `team` and returns whether one was available. Requests
  // without a team share the bucket of the empty team id.
  auto Allow(const TeamId& team, TimePoint now) -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return buckets_.size(); }

  // About 150 bytes per bucket, so at most 0.6 MB per service and node.
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
