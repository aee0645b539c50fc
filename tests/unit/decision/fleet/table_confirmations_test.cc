#include "decision/fleet/table_confirmations.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::seconds(100)};

auto Confirmed(std::uint64_t sequence, Duration age) -> SourceConfirmation {
  return {VmId("vm-z"), Incarnation(1), sequence, age, true};
}

auto Version(std::uint64_t revision) -> std::vector<TableDigest> {
  return {{0, Revision(revision), revision}};
}

}  // namespace

// Guards against a VM that takes an outdated table for current because a reader
// follows the store.
Test(table_confirmations, count_once_their_versions_are_settled) {
  TableConfirmations confirmations;
  confirmations.Add(Confirmed(1, milliseconds(200)), Version(4), kStart);
  const auto later = kStart + milliseconds(300);
  cr_assert(confirmations.TakeCovered(Version(3), later).empty());
  const auto covered = confirmations.TakeCovered(Version(4), later);
  cr_assert_eq(covered.size(), 1U);
  cr_assert_eq(ToMilliseconds(covered.front().age), 500);
  cr_assert(confirmations.TakeCovered(Version(4), later).empty());
}

// Guards against a VM that is always a little behind many versions in a row and
// counts as without any confirmation.
Test(table_confirmations, older_versions_are_covered_before_newer_ones) {
  TableConfirmations confirmations;
  constexpr std::uint64_t kVersions = 100;
  for (std::uint64_t i = 1; i <= kVersions; ++i) {
    confirmations.Add(Confirmed(i, Duration::zero()), Version(i), kStart);
  }
  cr_assert_eq(confirmations.TakeCovered(Version(1), kStart).size(), 1U);
  const auto newest = confirmations.TakeCovered(Version(kVersions), kStart);
  cr_assert_eq(newest.back().sequence, kVersions);
}

}  // namespace flamingoyoke
