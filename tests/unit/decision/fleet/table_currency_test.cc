#include "decision/fleet/table_currency.h"

#include <criterion/criterion.h>

namespace flamingoyoke {
namespace {

using std::chrono::seconds;

auto At(int second) -> TimePoint {
  return TimePoint(seconds(second));
}

auto Digest(std::uint32_t shard, std::uint64_t revision) -> TableDigest {
  return {shard, Revision(revision), revision};
}

}  // namespace

// Guards against a VM that serves an outdated table because a peer has a newer
// one.
Test(table_currency, claim_counts_once_its_versions_are_in_force) {
  TableCurrency currency;
  currency.OnClaim({Digest(0, 3), Digest(1, 7)}, At(10));
  currency.Update({Digest(0, 3), Digest(1, 6)});
  cr_assert_not(currency.IsKnownSince(At(0)));
  currency.Update({Digest(0, 3), Digest(1, 8)});
  cr_assert(currency.IsKnownSince(At(10)));
  cr_assert_not(currency.IsKnownSince(At(11)));
}

// Guards against a missing shard that counts as covered.
Test(table_currency, claim_without_a_shard_in_force_does_not_count) {
  TableCurrency currency;
  currency.OnClaim({Digest(0, 3), Digest(1, 7)}, At(10));
  currency.Update({Digest(0, 9)});
  cr_assert_not(currency.known_at().has_value());
  currency.OnClaim({}, At(20));
  currency.Update({Digest(0, 9), Digest(1, 9)});
  cr_assert_eq(currency.known_at(), At(10));
}

// Guards against knowledge that an older claim takes back.
Test(table_currency, older_claims_and_reads_change_nothing) {
  TableCurrency currency;
  currency.OnOwnRead(At(20));
  currency.OnClaim({Digest(0, 1)}, At(10));
  currency.Update({Digest(0, 1)});
  cr_assert_eq(currency.known_at(), At(20));
}

// Guards against an era before a return of the store that covers one after it.
Test(table_currency, later_era_is_newer_whatever_its_revision) {
  TableCurrency currency;
  auto returned = Digest(0, 1);
  returned.era = StoreEra(1);
  currency.OnClaim({returned}, At(10));
  currency.Update({Digest(0, 5)});
  cr_assert_not(currency.known_at().has_value());
}

}  // namespace flamingoyoke
