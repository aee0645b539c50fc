#ifndef FLAMINGOYOKE_DECISION_QUOTA_QUOTA_LIMITS_H_
#define FLAMINGOYOKE_DECISION_QUOTA_QUOTA_LIMITS_H_

#include <algorithm>
#include <memory>
#include <utility>

#include "core/ids.h"
#include "table/routing.h"

namespace flamingoyoke {

// Limit of a team with a quota. The rate is positive.
struct QuotaLimit {
  double rate = 0;
  double burst = 0;
};

// Returns the limits of the teams of one version of the configuration; a team
// without a quota has a rate of 0. Searches the configuration, so that 150,000
// teams take no further memory. Thread-safe.
class QuotaLimits {
 public:
  QuotaLimits() = default;
  // `routing` may be null.
  explicit QuotaLimits(std::shared_ptr<const Routing> routing)
      : routing_(std::move(routing)),
        limits_any_(routing_ && routing_->teams &&
                    std::any_of(routing_->teams->begin(),
                                routing_->teams->end(),
                                [](const Team& each) {
                                  return each.quota.requests_per_second > 0;
                                })) {}

  // Whether any team has a quota.
  [[nodiscard]] auto LimitsAny() const -> bool { return limits_any_; }

  [[nodiscard]] auto Find(const TeamId& team) const -> QuotaLimit {
    if (!routing_ || !routing_->teams || team.empty()) {
      return {};
    }
    const auto& teams = *routing_->teams;
    const auto found = std::lower_bound(
        teams.begin(), teams.end(), team,
        [](const Team& each, const TeamId& id) { return each.id < id; });
    if (found == teams.end() || found->id != team) {
      return {};
    }
    return {static_cast<double>(found->quota.requests_per_second),
            static_cast<double>(found->quota.burst)};
  }

 private:
  std::shared_ptr<const Routing> routing_;
  bool limits_any_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_QUOTA_QUOTA_LIMITS_H_
