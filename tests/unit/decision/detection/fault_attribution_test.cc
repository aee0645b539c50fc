#include "decision/detection/fault_attribution.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr double kHealthyRate = 0.005;

// Guards against the ejection of a target because of callers whose requests
// fail on every target.
Test(fault_attribution, equal_failures_elsewhere_point_to_the_callers) {
  cr_assert_lt(
      TargetFaultLogBayesFactor({{20, 10}, {20, 10}, {}, kHealthyRate}), 0);
}

// Guards against a failing target that stays in use although the requests of
// the same callers succeed on other targets.
Test(fault_attribution, successes_elsewhere_point_to_the_target) {
  cr_assert_gt(TargetFaultLogBayesFactor({{20, 10}, {30, 0}, {}, kHealthyRate}),
               6);
}

// Guards against ignoring the outcomes that other nodes report for the target.
Test(fault_attribution, reports_of_other_nodes_decide_without_other_targets) {
  cr_assert_gt(TargetFaultLogBayesFactor({{10, 5}, {}, {10, 5}, kHealthyRate}),
               6);
  cr_assert_lt(TargetFaultLogBayesFactor({{10, 5}, {}, {10, 0}, kHealthyRate}),
               0);
}

Test(fault_attribution, nothing_to_compare_with_is_no_evidence) {
  cr_assert_float_eq(TargetFaultLogBayesFactor({{10, 5}, {}, {}, kHealthyRate}),
                     0, 1e-9);
}

}  // namespace
}  // namespace flamingoyoke
