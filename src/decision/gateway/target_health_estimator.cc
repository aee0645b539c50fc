#include "decision/gateway/target_health_estimator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace flamingoyoke {
namespace {

constexpr std::size_t kStates = kEnumSize<TargetHealth>;

// Share of failed requests in each state.
constexpr std::array<double, kStates> kFailureRates = {0.012, 0.4, 0.9};

struct Likelihood {
  Evidence evidence;
  // Likelihood of the observation in each state, up to a common factor.
  std::array<double, kStates> by_state;
};

// The likelihoods of complete answers are the failure rates. Healthy targets
// cause resets, timeouts and refused connections less often than answers of
// 500, so these weigh at least as much. An overdue request is often only a long
// one, and a shed request only indicates load.
constexpr auto kLikelihoods = std::to_array<Likelihood>({
    {Evidence::kSucceeded,
     {1 - kFailureRates[0], 1 - kFailureRates[1], 1 - kFailureRates[2]}},
    {Evidence::kFailed, kFailureRates},
    {Evidence::kBroken, {1, 25, 60}},
    {Evidence::kTimedOut, {1, 12, 30}},
    {Evidence::kOverdue, {1, 4, 8}},
    {Evidence::kRefused, {1, 80, 200}},
    {Evidence::kShed, {1, 1.5, 2}},
});
static_assert(kLikelihoods.size() == kEnumSize<Evidence>);

// Keeps any state from becoming so certain that later evidence cannot change
// it.
constexpr double kMinProbability = 0.004;

}  // namespace

auto TargetHealthEstimator::Add(Evidence evidence, TimePoint now) -> void {
  const auto& likelihood =
      kLikelihoods[static_cast<std::size_t>(evidence)].by_state;
  auto next = Probabilities(now);
  double sum = 0;
  for (std::size_t i = 0; i < kStates; ++i) {
    next[i] *= likelihood[i];
    sum += next[i];
  }
  for (auto& probability : next) {
    probability = std::max(probability / sum, kMinProbability);
  }
  const auto kept = std::accumulate(next.begin(), next.end(), 0.0);
  for (std::size_t i = 0; i < kStates; ++i) {
    probabilities_[i] = next[i] / kept;
  }
  last_observed_ = now;
}

auto TargetHealthEstimator::Probabilities(TimePoint now) const -> PerState {
  if (!last_observed_) {
    return kPrior;
  }
  const auto kept =
      std::exp(-ToSeconds(EvidenceAge(now)) / ToSeconds(kDecayTime));
  PerState present = {};
  for (std::size_t i = 0; i < kStates; ++i) {
    present[i] = kPrior[i] + (probabilities_[i] - kPrior[i]) * kept;
  }
  return present;
}

auto TargetHealthEstimator::UnhealthyProbability(TimePoint now) const
    -> double {
  return 1 -
         Probabilities(now)[static_cast<std::size_t>(TargetHealth::kHealthy)];
}

auto TargetHealthEstimator::EvidenceAge(TimePoint now) const -> Duration {
  return last_observed_ ? std::max(now - *last_observed_, Duration::zero())
                        : Duration::max();
}

auto TargetHealthEstimator::FailureProbability(TimePoint now) const -> double {
  const auto present = Probabilities(now);
  return std::inner_product(present.begin(), present.end(),
                            kFailureRates.begin(), 0.0);
}

}  // namespace flamingoyoke
