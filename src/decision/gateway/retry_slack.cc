#include "decision/gateway/retry_slack.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Entry VMs get a third of the slack, since their share of first attempts
// usually exceeds it. The remaining two thirds allow one retry on each of 37
// other VMs for a site with a slack of 60.
constexpr std::uint64_t kEntryDivisor = 3;
// Upper bound for a VM that has just started and knows few other members.
constexpr std::uint64_t kMaxPerOtherVm = 2;

}  // namespace

auto LocalRetrySlack(std::uint32_t slack, const RetrySlackScope& scope)
    -> std::uint64_t {
  const std::uint64_t entry_slack = slack / kEntryDivisor;
  if (scope.is_entry) {
    return entry_slack / std::max<std::size_t>(scope.entries, 1);
  }
  const auto other_vms =
      scope.members > scope.entries ? scope.members - scope.entries : 1;
  return std::min((slack - entry_slack) / other_vms, kMaxPerOtherVm);
}

}  // namespace flamingoyoke
