#include "runtime/restart_policy.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Delay of the second restart in a window; the first one is immediate.
constexpr Duration kFirstDelay = std::chrono::milliseconds(100);
// Short against the seconds that callers keep the address of a VM.
constexpr Duration kAddressRetryPeriod = std::chrono::milliseconds(200);

// Delays after a refused resource, doubled up to the longest. Many processes
// may wait for the same resource, and each attempt takes processor time.
constexpr Duration kFirstRefusalDelay = std::chrono::milliseconds(200);
constexpr unsigned kMaxRefusalDoublings = 3;

auto DelayAfterRefusal(unsigned refusals) -> Duration {
  return kFirstRefusalDelay * (1U << std::min(refusals, kMaxRefusalDoublings));
}

}  // namespace

auto RestartPolicy::OnFailure(const Error& error, bool has_run, TimePoint now)
    -> RestartDecision {
  if (!has_run && error.kind == ErrorKind::kAddressInUse) {
    return RestartAfter{kAddressRetryPeriod};
  }
  if (!has_run && error.kind == ErrorKind::kResourceRefused) {
    return RestartAfter{DelayAfterRefusal(refusals_++)};
  }
  while (!failures_.empty() && now - failures_.front() > limit_.window) {
    failures_.pop_front();
  }
  if (failures_.size() >= limit_.restarts) {
    return EscalateFailure{};
  }
  auto delay = failures_.empty() ? Duration::zero() : kFirstDelay;
  for (std::size_t i = 1; i < failures_.size(); ++i) {
    delay *= 2;
  }
  failures_.push_back(now);
  return RestartAfter{delay};
}

}  // namespace flamingoyoke
