#include "decision/descriptors/descriptor_budget.h"

#include <criterion/criterion.h>

#include "decision/fleet/membership_timing.h"

namespace flamingoyoke {
namespace {

constexpr std::uint64_t kMaxCallers = 1500;

auto Part(std::uint64_t limit, DescriptorUse use) -> std::uint64_t {
  return DescriptorBudget(limit, kMaxCallers).PartOf(use);
}

}  // namespace

// Guards against a reserve that bounds callers or targets of a usual process.
Test(descriptor_budget, usual_limits_leave_callers_and_targets_alone) {
  cr_expect_eq(Part(4100, DescriptorUse::kCallers), kMaxCallers);
  cr_expect_eq(Part(4100, DescriptorUse::kTargets), 2424);
  cr_expect_eq(Part(8192, DescriptorUse::kCallers), kMaxCallers);
  cr_expect_eq(Part(8192, DescriptorUse::kTargets), 6516);
  cr_expect_geq(Part(1024, DescriptorUse::kPeers), 3 * kMaxPeers);
}

// Guards against parts that together exceed the limit, or that are empty.
Test(descriptor_budget, parts_fit_into_any_limit) {
  for (std::uint64_t limit = 8; limit <= 2048; ++limit) {
    std::uint64_t sum = 0;
    for (const auto& entry : EnumNames<DescriptorUse>::kTable) {
      sum += Part(limit, entry.value);
    }
    cr_expect_leq(sum, limit, "parts of limit %lu", limit);
    cr_expect_geq(Part(limit, DescriptorUse::kCallers), 1);
    cr_expect_geq(Part(limit, DescriptorUse::kTargets), 1);
  }
}

// Guards against callers that take the descriptors for operators and peers.
Test(descriptor_budget, low_limits_keep_most_descriptors) {
  cr_expect_eq(Part(128, DescriptorUse::kProcess), 40);
  cr_expect_eq(Part(128, DescriptorUse::kCallers), 16);
  cr_expect_eq(Part(128, DescriptorUse::kTargets), 16);
  cr_expect_eq(Part(256, DescriptorUse::kCallers), 40);
}

}  // namespace flamingoyoke
