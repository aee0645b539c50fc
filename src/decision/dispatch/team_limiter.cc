#include "decision/dispatch/team_limiter.h"

#include <algorithm>

namespace flamingoyoke {

auto TeamLimiter::Configure(double rate, double burst) -> void {
  rate_ = rate;
  // A bucket that holds less than one token would reject every request.
  burst_ = std::max(burst, 1.0);
  if (rate_ <= 0) {
    buckets_.clear();
    index_.clear();
  }
}

auto TeamLimiter::FindOrAddBucket(const TeamId& team, TimePoint now)
    -> Bucket& {
  const auto known = index_.find(team);
  if (known != index_.end()) {
    buckets_.splice(buckets_.begin(), buckets_, known->second);
    return buckets_.front();
  }
  if (buckets_.size() >= kMaxTeams) {
    index_.erase(buckets_.back().team);
    buckets_.pop_back();
  }
  buckets_.push_front({team, burst_, now});
  index_.emplace(team, buckets_.begin());
  return buckets_.front();
}

auto TeamLimiter::Allow(const TeamId& team, TimePoint now) -> bool {
  if (rate_ <= 0) {
    return true;
  }
  auto& bucket = FindOrAddBucket(team, now);
  const double refill = ToSeconds(now - bucket.refilled_at) * rate_;
  bucket.tokens = std::min(burst_, bucket.tokens + refill);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace flamingoyoke
