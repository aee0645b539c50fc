#include "decision/fleet/pending_indirect_probes.h"

#include <algorithm>
#include <cstddef>

#include "decision/fleet/membership_timing.h"

namespace flamingoyoke {
namespace {

// Sized for 24 peers that each ask about several VMs when a failure domain is
// lost.
constexpr std::size_t kMaxPending = 256;

}  // namespace

auto PendingIndirectProbes::Add(const VmId& requester,
                                const VmId& subject,
                                TimePoint now) -> void {
  const auto same = std::find_if(
      pending_.begin(), pending_.end(), [&](const PendingProbe& probe) {
        return probe.requester == requester && probe.subject == subject;
      });
  if (same != pending_.end()) {
    same->until = now + kIndirectProbeTimeout;
    return;
  }
  if (pending_.size() < kMaxPending) {
    pending_.push_back({requester, subject, now + kIndirectProbeTimeout});
  }
}

auto PendingIndirectProbes::TakeRequesters(const VmId& subject)
    -> std::vector<VmId> {
  std::vector<VmId> requesters;
  for (const auto& probe : pending_) {
    if (probe.subject == subject) {
      requesters.push_back(probe.requester);
    }
  }
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                [&](const PendingProbe& probe) {
                                  return probe.subject == subject;
                                }),
                 pending_.end());
  return requesters;
}

auto PendingIndirectProbes::Expire(TimePoint now) -> void {
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                [&](const PendingProbe& probe) {
                                  return probe.until <= now;
                                }),
                 pending_.end());
}

}  // namespace flamingoyoke
