#include "decision/fleet/table_digests.h"

#include <algorithm>
#include <tuple>

namespace flamingoyoke {
namespace {

auto IsSameOrNewer(const TableDigest& a, const TableDigest& b) -> bool {
  return std::tie(a.era, a.revision, a.hash) >=
         std::tie(b.era, b.revision, b.hash);
}

}  // namespace

auto CoversAll(const std::vector<TableDigest>& digests,
               const std::vector<TableDigest>& others) -> bool {
  return std::all_of(
      others.begin(), others.end(), [&](const TableDigest& other) {
        return std::any_of(
            digests.begin(), digests.end(), [&](const TableDigest& own) {
              return own.shard == other.shard && IsSameOrNewer(own, other);
            });
      });
}

}  // namespace flamingoyoke
