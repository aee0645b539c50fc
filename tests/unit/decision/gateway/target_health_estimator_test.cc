#include "decision/gateway/target_health_estimator.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

Test(target_health_estimator, starts_from_the_prior) {
  const TargetHealthEstimator estimator;
  cr_assert_float_eq(estimator.UnhealthyProbability(kStart),
                     TargetHealthEstimator::kPriorUnhealthy, 1e-9);
}

// Guards against sending requests to a target that failed twice.
Test(target_health_estimator, two_failures_mark_a_target_unhealthy) {
  TargetHealthEstimator estimator;
  estimator.Add(Evidence::kSucceeded, kStart);
  estimator.Add(Evidence::kSucceeded, kStart);
  estimator.Add(Evidence::kFailed, kStart);
  cr_assert_lt(estimator.UnhealthyProbability(kStart), 0.75);
  estimator.Add(Evidence::kFailed, kStart);
  cr_assert_gt(estimator.UnhealthyProbability(kStart), 0.95);
}

// Guards against excluding healthy targets for their rare errors.
Test(target_health_estimator,
     a_success_after_one_failure_restores_a_healthy_target) {
  TargetHealthEstimator estimator;
  for (int i = 0; i < 5; ++i) {
    estimator.Add(Evidence::kSucceeded, kStart);
  }
  estimator.Add(Evidence::kFailed, kStart);
  estimator.Add(Evidence::kSucceeded, kStart);
  cr_assert_lt(estimator.UnhealthyProbability(kStart), 0.3);
}

// Guards against treating a target that fails half of its requests like one
// that fails all: when no healthy target is free, the former can still serve
// some.
Test(target_health_estimator,
     distinguishes_partly_failing_from_failing_targets) {
  TargetHealthEstimator partly;
  TargetHealthEstimator failing;
  for (int i = 0; i < 4; ++i) {
    partly.Add(Evidence::kFailed, kStart);
    partly.Add(Evidence::kSucceeded, kStart);
    failing.Add(Evidence::kFailed, kStart);
    failing.Add(Evidence::kFailed, kStart);
  }
  cr_assert_gt(partly.UnhealthyProbability(kStart), 0.75);
  cr_assert_lt(partly.FailureProbability(kStart), 0.5);
  cr_assert_gt(failing.FailureProbability(kStart), 0.85);
}

// Guards against targets that are never used again after a fault.
Test(target_health_estimator, decays_to_the_prior_with_time) {
  TargetHealthEstimator estimator;
  estimator.Add(Evidence::kFailed, kStart);
  estimator.Add(Evidence::kFailed, kStart);
  const auto later = kStart + 3 * TargetHealthEstimator::kDecayTime;
  cr_assert_lt(estimator.UnhealthyProbability(later),
               TargetHealthEstimator::kPriorUnhealthy + 0.05);
  cr_assert_gt(estimator.UnhealthyProbability(later),
               TargetHealthEstimator::kPriorUnhealthy);
}

// Guards against an estimate that later evidence cannot change.
Test(target_health_estimator, recovers_from_many_failures_as_from_few) {
  TargetHealthEstimator estimator;
  for (int i = 0; i < 1000; ++i) {
    estimator.Add(Evidence::kFailed, kStart);
  }
  for (int i = 0; i < 8; ++i) {
    estimator.Add(Evidence::kSucceeded, kStart);
  }
  cr_assert_lt(estimator.UnhealthyProbability(kStart), 0.5);
}

}  // namespace flamingoyoke
