#include "decision/gateway/target_belief.h"

#include <algorithm>
#include <cmath>

namespace flamingoyoke {
namespace {

struct Likelihood {
  Evidence evidence;
  // How much likelier the observation is at an unhealthy target than at a
  // healthy one.
  double ratio;
};

// The ratios of whole answers follow from the two shares of failures. Healthy
// targets break off, time out or refuse less often than they answer 500, so
// such observations say at least as much. Overdue work is often only long
// work, and a shed request only a sign of load.
constexpr auto kLikelihoods = std::to_array<Likelihood>({
    {Evidence::kSucceeded, (1 - TargetBelief::kUnhealthyFailureShare) /
                               (1 - TargetBelief::kHealthyFailureShare)},
    {Evidence::kFailed,
     TargetBelief::kUnhealthyFailureShare / TargetBelief::kHealthyFailureShare},
    {Evidence::kBroken, 60.0},
    {Evidence::kTimedOut, 30.0},
    {Evidence::kOverdue, 8.0},
    {Evidence::kRefused, 200.0},
    {Evidence::kShed, 2.0},
});
static_assert(kLikelihoods.size() == kEnumSize<Evidence>);

// Keeps certainty from outlasting later observations.
constexpr double kLeastProbability = 0.004;

}  // namespace

auto TargetBelief::Add(Evidence evidence, TimePoint now) -> void {
  const auto before = UnhealthyProbability(now);
  const auto ratio = kLikelihoods[static_cast<std::size_t>(evidence)].ratio;
  const auto odds = before / (1 - before) * ratio;
  unhealthy_ =
      std::clamp(odds / (1 + odds), kLeastProbability, 1 - kLeastProbability);
  last_ = now;
}

auto TargetBelief::UnhealthyProbability(TimePoint now) const -> double {
  if (!last_) {
    return kUnhealthyShare;
  }
  const auto age = EvidenceAge(now);
  const auto kept = std::exp(-ToSeconds(age) / ToSeconds(kMemory));
  return kUnhealthyShare + (unhealthy_ - kUnhealthyShare) * kept;
}

auto TargetBelief::EvidenceAge(TimePoint now) const -> Duration {
  return last_ ? std::max(now - *last_, Duration::zero()) : Duration::max();
}

auto TargetBelief::FailureProbability(TimePoint now) const -> double {
  const auto unhealthy = UnhealthyProbability(now);
  return unhealthy * kUnhealthyFailureShare +
         (1 - unhealthy) * kHealthyFailureShare;
}

}  // namespace flamingoyoke
