#include "decision/fleet/table_currency.h"

#include <algorithm>

#include "decision/fleet/table_digests.h"

namespace flamingoyoke {
auto TableCurrency::OnOwnRead(TimePoint at) -> void {
  Raise(at);
}

auto TableCurrency::OnClaim(const std::vector<TableDigest>& digests,
                            TimePoint at) -> void {
  if (digests.empty() || (claimed_at_ && at < *claimed_at_)) {
    return;
  }
  claimed_ = digests;
  claimed_at_ = at;
}

auto TableCurrency::Update(const std::vector<TableDigest>& digests) -> void {
  // Versions never go back, so that what was known once remains true.
  if (claimed_at_ && CoversAll(digests, claimed_)) {
    Raise(*claimed_at_);
    claimed_at_.reset();
  }
}

auto TableCurrency::Raise(TimePoint at) -> void {
  known_at_ = std::max(known_at_.value_or(at), at);
}

}  // namespace flamingoyoke
