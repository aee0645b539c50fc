#include "decision/gateway/target_belief.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

}  // namespace

Test(target_belief, starts_from_the_share_of_ill_targets) {
  const TargetBelief belief;
  cr_assert_float_eq(belief.UnhealthyProbability(kStart),
                     TargetBelief::kUnhealthyShare, 1e-9);
}

// Guards against a target that goes on getting work after it failed twice.
Test(target_belief, two_failures_leave_little_doubt) {
  TargetBelief belief;
  belief.Add(Evidence::kSucceeded, kStart);
  belief.Add(Evidence::kSucceeded, kStart);
  belief.Add(Evidence::kFailed, kStart);
  cr_assert_lt(belief.UnhealthyProbability(kStart), 0.75);
  belief.Add(Evidence::kFailed, kStart);
  cr_assert_gt(belief.UnhealthyProbability(kStart), 0.95);
}

// Guards against the loss of healthy targets by their rare errors.
Test(target_belief, a_success_after_one_failure_restores_a_sound_target) {
  TargetBelief belief;
  for (int i = 0; i < 5; ++i) {
    belief.Add(Evidence::kSucceeded, kStart);
  }
  belief.Add(Evidence::kFailed, kStart);
  belief.Add(Evidence::kSucceeded, kStart);
  cr_assert_lt(belief.UnhealthyProbability(kStart), 0.3);
}

// Guards against taking a target that fails half of its requests for one that
// fails them all: when no healthy target has room, the former serves some.
Test(target_belief, tells_partly_failing_targets_from_failing_ones) {
  TargetBelief partly;
  TargetBelief failing;
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

// Guards against targets that never come back after a fault.
Test(target_belief, returns_to_the_usual_share_with_time) {
  TargetBelief belief;
  belief.Add(Evidence::kFailed, kStart);
  belief.Add(Evidence::kFailed, kStart);
  const auto later = kStart + 3 * TargetBelief::kMemory;
  cr_assert_lt(belief.UnhealthyProbability(later),
               TargetBelief::kUnhealthyShare + 0.05);
  cr_assert_gt(belief.UnhealthyProbability(later),
               TargetBelief::kUnhealthyShare);
}

// Guards against evidence that cannot be overcome by later evidence.
Test(target_belief, many_failures_are_forgotten_like_few) {
  TargetBelief belief;
  for (int i = 0; i < 1000; ++i) {
    belief.Add(Evidence::kFailed, kStart);
  }
  for (int i = 0; i < 8; ++i) {
    belief.Add(Evidence::kSucceeded, kStart);
  }
  cr_assert_lt(belief.UnhealthyProbability(kStart), 0.5);
}

}  // namespace flamingoyoke
