#include "decision/fleet/table_currency.h"

#include <algorithm>
#include <tuple>

namespace flamingoyoke {
namespace {

auto IsSameOrNewer(const TableDigest& a, const TableDigest& b) -> bool {
  return std::tie(a.era, a.revision, a.hash) >=
         std::tie(b.era, b.revision, b.hash);
}

// Whether `digests` has the same or a newer version of each shard of `others`.
auto Covers(const std::vector<TableDigest>& digests,
            const std::vector<TableDigest>& others) -> bool {
  return std::all_of(
      others.begin(), others.end(), [&](const TableDigest& other) {
        return std::any_of(
            digests.begin(), digests.end(), [&](const TableDigest& own) {
              return own.shard == other.shard && IsSameOrNewer(own, other);
            });
      });
}

}  // namespace

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
  if (claimed_at_ && Covers(digests, claimed_)) {
    Raise(*claimed_at_);
    claimed_at_.reset();
  }
}

auto TableCurrency::Raise(TimePoint at) -> void {
  known_at_ = std::max(known_at_.value_or(at), at);
}

}  // namespace flamingoyoke
