#include "runtime/restart_policy.h"

namespace flamingoyoke {
namespace {

// Delay of the second restart in a window; the first one is immediate.
constexpr Duration kFirstDelay = std::chrono::milliseconds(100);
// Short against the seconds that callers keep the address of a VM.
constexpr Duration kAddressRetryPeriod = std::chrono::milliseconds(200);

}  // namespace

auto RestartPolicy::OnFailure(const Error& error, TimePoint now)
    -> RestartDecision {
  if (error.kind == ErrorKind::kAddressInUse && !has_failed_otherwise_) {
    return RestartAfter{kAddressRetryPeriod};
  }
  has_failed_otherwise_ = true;
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
