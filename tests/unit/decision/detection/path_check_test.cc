#include "decision/detection/path_check.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

constexpr auto kStart = TimePoint(std::chrono::seconds(100));
constexpr Duration kProbeTime = PathCheck::kMinProbeTimeout;

auto After(std::int64_t milliseconds) -> TimePoint {
  return kStart + std::chrono::milliseconds(milliseconds);
}

// Guards against three probes of one target within a second when the answer of
// the first verifier is late (found by bench ejection, seed 1).
Test(path_check,
     asks_a_second_member_no_earlier_than_a_second_after_its_probe) {
  PathCheck check({VmId("vm-1"), VmId("vm-2")}, kStart);
  ProbeBudget budget;
  budget.SetMemberCount(4);
  cr_assert(check.Advance(kProbeTime, budget, kStart).start_probe);
  const auto first = check.Advance(kProbeTime, budget, After(50));
  cr_assert(first.ask_verifier == VmId("vm-1"));
  cr_assert(
      !check.Advance(kProbeTime, budget, After(999)).ask_verifier.has_value());
  const auto second = check.Advance(kProbeTime, budget, After(1000));
  cr_assert(second.ask_verifier == VmId("vm-2"));
}

// Guards against a check that wakes too late to ask the second member.
Test(path_check, wakes_to_ask_the_second_member) {
  PathCheck check({VmId("vm-1"), VmId("vm-2")}, kStart);
  ProbeBudget budget;
  budget.SetMemberCount(4);
  check.Advance(kProbeTime, budget, kStart);
  check.Advance(kProbeTime, budget, After(50));
  check.Advance(kProbeTime, budget, After(150));
  cr_assert(check.NextWake(kProbeTime, budget) == After(1000));
}

}  // namespace
}  // namespace flamingoyoke
