#include "decision/detection/fault_attribution.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr double kHealthyRate = 0.005;

// Guards against blaming a target for callers whose requests fail everywhere.
Test(fault_attribution, equal_failures_elsewhere_speak_for_the_target) {
  cr_assert_lt(
      TargetFaultLogBayesFactor({{20, 10}, {20, 10}, {}, kHealthyRate}), 0);
}

// Guards against excusing a target that fails while others serve the same
// callers.
Test(fault_attribution, successes_elsewhere_speak_against_the_target) {
  cr_assert_gt(TargetFaultLogBayesFactor({{20, 10}, {30, 0}, {}, kHealthyRate}),
               6);
}

// Guards against ignoring what other nodes saw on the same target.
Test(fault_attribution, reports_of_other_nodes_decide_without_work_elsewhere) {
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
