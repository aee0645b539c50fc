#include "decision/detection/caller_check.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr double kHealthyRate = 0.005;

// Guards against blaming a target for callers whose requests fail everywhere.
Test(caller_check, equal_failures_elsewhere_speak_for_the_target) {
  cr_assert_lt(EvidenceAgainstTarget({{20, 10}, {20, 10}, {}, kHealthyRate}),
               0);
}

// Guards against excusing a target that fails while others serve the same
// callers.
Test(caller_check, successes_elsewhere_speak_against_the_target) {
  cr_assert_gt(EvidenceAgainstTarget({{20, 10}, {30, 0}, {}, kHealthyRate}), 6);
}

// Guards against ignoring what other nodes saw on the same target.
Test(caller_check, reports_of_other_nodes_decide_without_work_elsewhere) {
  cr_assert_gt(EvidenceAgainstTarget({{10, 5}, {}, {10, 5}, kHealthyRate}), 6);
  cr_assert_lt(EvidenceAgainstTarget({{10, 5}, {}, {10, 0}, kHealthyRate}), 0);
}

Test(caller_check, nothing_to_compare_with_is_no_evidence) {
  cr_assert_float_eq(EvidenceAgainstTarget({{10, 5}, {}, {}, kHealthyRate}), 0,
                     1e-9);
}

}  // namespace
}  // namespace flamingoyoke
