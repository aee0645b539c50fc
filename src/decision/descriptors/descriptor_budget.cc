#include "decision/descriptors/descriptor_budget.h"

#include <algorithm>

#include "decision/fleet/membership_timing.h"

namespace flamingoyoke {
namespace {

// A process without peers and callers holds 32.
constexpr std::uint64_t kProcessPart = 40;
// Two for the socket that sends, one for the connection that receives, and one
// for a connection that replaces another before its close is noticed.
constexpr std::uint64_t kDescriptorsPerPeer = 4;
constexpr std::uint64_t kControlPart = 40;
// Under a low limit, the share of it that is kept for other uses than callers
// and targets. Such a process doesn't have all peers.
constexpr std::uint64_t kReserveNumerator = 3;
constexpr std::uint64_t kReserveDenominator = 4;

}  // namespace

DescriptorBudget::DescriptorBudget(std::uint64_t limit,
                                   std::uint64_t max_callers) {
  const auto most = limit / kReserveDenominator * kReserveNumerator;
  // Peers come last: a fleet on a machine with such a limit is small.
  const auto process = std::min(kProcessPart, most);
  const auto control = std::min(kControlPart, (most - process) / 2);
  const auto peers =
      std::min(kMaxPeers * kDescriptorsPerPeer, most - process - control);
  const auto rest = limit - process - control - peers;
  // Most requests hold one connection of each kind.
  const auto callers =
      std::max<std::uint64_t>(1, std::min(max_callers, rest / 2));
  const auto targets =
      std::max<std::uint64_t>(1, rest - std::min(callers, rest));
  parts_ = {process, peers, control, callers, targets};
}

}  // namespace flamingoyoke
