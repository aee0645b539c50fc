#ifndef FLAMINGOYOKE_DECISION_GATEWAY_TARGET_BELIEF_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_TARGET_BELIEF_H_

#include <array>
#include <optional>

#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// What one observation says about a target.
enum class Evidence {
  kSucceeded,  // A whole answer below 500.
  kFailed,     // A whole answer of 500 or above.
  kBroken,     // A reset, or bytes that are no answer to the request.
  kTimedOut,   // No answer until the request's time was over.
  kOverdue,    // No answer for far longer than usual; it may still come.
  kRefused,    // No connection.
  kShed,       // The target said that it did not run the request.
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

// How a target treats its requests, whatever its health endpoint says.
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

// Probabilities of the states of one target. Each observation updates them by
// Bayes' rule; between observations they return to the share of time that
// targets spend in each state, since a fault lasts some seconds. So a target
// comes back without a probe. Two unhealthy states let requests that find no
// healthy target prefer those that fail least. Not thread-safe.
class TargetBelief {
 public:
  // Adds an observation. `now` must not go back.
  auto Add(Evidence evidence, TimePoint now) -> void;

  // Returns the probability that the target is unhealthy, 0 to 1.
  [[nodiscard]] auto UnhealthyProbability(TimePoint now) const -> double;

  // Returns the probability that the next request fails, 0 to 1.
  [[nodiscard]] auto FailureProbability(TimePoint now) const -> double;

  // Time since the last observation; Duration::max() if there was none.
  [[nodiscard]] auto EvidenceAge(TimePoint now) const -> Duration;

  // Share of time for which a target is expected to be unhealthy. Operators see
  // up to 30% of the targets of a service unhealthy at a time; one that was not
  // heard of for long is held for somewhat better than that.
  static constexpr double kUnhealthyShare = 0.3;
  // Time constant of the return to that share; a fault lasts a few seconds.
  static constexpr Duration kMemory = std::chrono::milliseconds(9000);

 private:
  // One value per state, in the order of TargetHealth.
  using PerState = std::array<double, kEnumSize<TargetHealth>>;

  // Share of time in each state. Most unhealthy targets fail nearly all work.
  static constexpr PerState kUsual = {1 - kUnhealthyShare, 0.08, 0.22};

  [[nodiscard]] auto Probabilities(TimePoint now) const -> PerState;

  PerState probabilities_ = kUsual;
  std::optional<TimePoint> last_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_TARGET_BELIEF_H_
