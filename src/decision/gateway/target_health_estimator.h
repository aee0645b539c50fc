#ifndef FLAMINGOYOKE_DECISION_GATEWAY_TARGET_HEALTH_ESTIMATOR_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_TARGET_HEALTH_ESTIMATOR_H_

#include <array>
#include <optional>

#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// Observed behaviour of a target, used to estimate its health.
enum class Evidence {
  kSucceeded,  // Complete answer below 500.
  kFailed,     // Complete answer of 500 or above.
  kBroken,     // Reset, or data that is not an answer to the request.
  kTimedOut,   // No answer before the deadline.
  kOverdue,    // No answer yet for much longer than expected.
  kRefused,    // Connection failed.
  kShed,       // The target reported that it did not run the request.
};

template <>
struct EnumNames<Evidence> {
  static constexpr auto kTable = std::to_array<NameEntry<Evidence>>({
      {Evidence::kSucceeded, "succeeded"},
      {Evidence::kFailed, "failed"},
      {Evidence::kBroken, "broken"},
      {Evidence::kTimedOut, "timed-out"},
      {Evidence::kOverdue, "overdue"},
      {Evidence::kRefused, "refused"},
      {Evidence::kShed, "shed"},
  });
};
static_assert(IsDense<Evidence>());

// How a target handles requests, independent of its health endpoint.
enum class TargetHealth {
  kHealthy,
  kPartlyFailing,  // Fails some of its requests.
  kFailing,        // Fails nearly all of its requests.
};

template <>
struct EnumNames<TargetHealth> {
  static constexpr auto kTable = std::to_array<NameEntry<TargetHealth>>({
      {TargetHealth::kHealthy, "healthy"},
      {TargetHealth::kPartlyFailing, "partly-failing"},
      {TargetHealth::kFailing, "failing"},
  });
};
static_assert(IsDense<TargetHealth>());

// Estimates the health of one target as a probability for each TargetHealth
// state. Observations update the probabilities by Bayes' rule. Between
// observations they decay to the prior, because faults last only seconds; a
// target recovers without a probe. Two unhealthy states allow requests that
// find no healthy target to prefer the one that fails least. Not thread-safe.
class TargetHealthEstimator {
 public:
  // Records an observation. `now` must not decrease.
  auto Add(Evidence evidence, TimePoint now) -> void;

  // Returns the probability that the target is unhealthy, 0 to 1.
  [[nodiscard]] auto UnhealthyProbability(TimePoint now) const -> double;

  // Returns the probability that the next request fails, 0 to 1.
  [[nodiscard]] auto FailureProbability(TimePoint now) const -> double;

  // Returns the time since the last observation, or Duration::max() if there
  // was none.
  [[nodiscard]] auto EvidenceAge(TimePoint now) const -> Duration;

  // Prior probability that a target is unhealthy. Operators report up to 30% of
  // the targets of a service unhealthy at a time; a target without recent
  // observations decays towards this value.
  static constexpr double kPriorUnhealthy = 0.3;
  // Time constant of the decay to the prior. Faults last a few seconds.
  static constexpr Duration kDecayTime = std::chrono::milliseconds(9000);

 private:
  // One value per state, indexed by TargetHealth.
  using PerState = std::array<double, kEnumSize<TargetHealth>>;

  // Prior probabilities. Most unhealthy targets fail nearly all requests.
  static constexpr PerState kPrior = {1 - kPriorUnhealthy, 0.08, 0.22};

  [[nodiscard]] auto Probabilities(TimePoint now) const -> PerState;

  PerState probabilities_ = kPrior;
  std::optional<TimePoint> last_observed_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_TARGET_HEALTH_ESTIMATOR_H_
