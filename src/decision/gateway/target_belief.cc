#include "decision/gateway/target_belief.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace flamingoyoke {
namespace {

constexpr std::size_t kStates = kEnumSize<TargetHealth>;

// Share of requests that fail in each state.
constexpr std::array<double, kStates> kFailureShares = {0.012, 0.4, 0.9};

struct Likelihood {
  Evidence evidence;
  // How likely the observation is in each state, up to a common factor.
  std::array<double, kStates> in_state;
};

// Whole answers follow from the shares of failures. Healthy targets break off,
// time out or refuse less often than they answer 500, so such observations say
// at least as much. Overdue work is often only long work, and a shed request
// only a sign of load.
constexpr auto kLikelihoods = std::to_array<Likelihood>({
    {Evidence::kSucceeded,
     {1 - kFailureShares[0], 1 - kFailureShares[1], 1 - kFailureShares[2]}},
    {Evidence::kFailed, kFailureShares},
    {Evidence::kBroken, {1, 25, 60}},
    {Evidence::kTimedOut, {1, 12, 30}},
    {Evidence::kOverdue, {1, 4, 8}},
    {Evidence::kRefused, {1, 80, 200}},
    {Evidence::kShed, {1, 1.5, 2}},
});
static_assert(kLikelihoods.size() == kEnumSize<Evidence>);

// Keeps certainty from outlasting later observations.
constexpr double kLeastProbability = 0.004;

}  // namespace

auto TargetBelief::Add(Evidence evidence, TimePoint now) -> void {
  const auto& likelihood =
      kLikelihoods[static_cast<std::size_t>(evidence)].in_state;
  auto next = Probabilities(now);
  double sum = 0;
  for (std::size_t i = 0; i < kStates; ++i) {
    next[i] *= likelihood[i];
    sum += next[i];
  }
  for (auto& probability : next) {
    probability = std::max(probability / sum, kLeastProbability);
  }
  const auto kept = std::accumulate(next.begin(), next.end(), 0.0);
  for (std::size_t i = 0; i < kStates; ++i) {
    probabilities_[i] = next[i] / kept;
  }
  last_ = now;
}

auto TargetBelief::Probabilities(TimePoint now) const -> PerState {
  if (!last_) {
    return kUsual;
  }
  const auto kept = std::exp(-ToSeconds(EvidenceAge(now)) / ToSeconds(kMemory));
  PerState present = {};
  for (std::size_t i = 0; i < kStates; ++i) {
    present[i] = kUsual[i] + (probabilities_[i] - kUsual[i]) * kept;
  }
  return present;
}

auto TargetBelief::UnhealthyProbability(TimePoint now) const -> double {
  return 1 -
         Probabilities(now)[static_cast<std::size_t>(TargetHealth::kHealthy)];
}

auto TargetBelief::EvidenceAge(TimePoint now) const -> Duration {
  return last_ ? std::max(now - *last_, Duration::zero()) : Duration::max();
}

auto TargetBelief::FailureProbability(TimePoint now) const -> double {
  const auto present = Probabilities(now);
  return std::inner_product(present.begin(), present.end(),
                            kFailureShares.begin(), 0.0);
}

}  // namespace flamingoyoke
