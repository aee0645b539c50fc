#ifndef FLAMINGOYOKE_DECISION_QUOTA_QUOTA_SCOPE_H_
#define FLAMINGOYOKE_DECISION_QUOTA_QUOTA_SCOPE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "decision/fleet/entry_set.h"

namespace flamingoyoke {

// The gateways that share the quotas, as one VM sees them.
struct QuotaScope {
  VmId self;
  // Number of gateways; positive.
  std::size_t gateways = 1;
  // Share of each limit that the VMs that this one can reach may use, 0 to 1.
  double share = 1;
  // VMs that keep the quotas.
  std::vector<VmId> keepers;
  // The gateways that this VM knows.
  std::vector<VmId> known_gateways = {};
  // Whether this process and those of all gateways have just started together,
  // so that no lease of an earlier keeper is in use.
  bool has_started_together = false;

  auto operator==(const QuotaScope&) const -> bool = default;
};

// Returns the VMs that keep the quotas: the first entries, since entry sets of
// different sizes share these, and they stand in different failure domains.
// Thread-safe.
auto QuotaKeepers(const std::vector<EntryVm>& entries) -> std::vector<VmId>;

// Returns a value that tells sets of keepers apart; never 0. Thread-safe.
auto KeepersHash(const std::vector<VmId>& keepers) -> std::uint64_t;

// Returns `keepers` in the order in which `team` uses them; the first is its
// keeper. Thread-safe.
auto KeepersOfTeam(const TeamId& team, const std::vector<VmId>& keepers)
    -> std::vector<VmId>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_QUOTA_QUOTA_SCOPE_H_
