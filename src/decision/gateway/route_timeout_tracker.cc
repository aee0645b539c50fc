#include "decision/gateway/route_timeout_tracker.h"

namespace flamingoyoke {
namespace {

// Three timeouts in a row cross the threshold; one answer in time then brings
// the share below it again. If a third of the targets are so slow that every
// request times out there, three in a row occur about once in 27 attempts.
constexpr double kSmoothingFactor = 0.25;
constexpr double kTooShortThreshold = 0.5;
// Routes whose share falls below this are no longer tracked.
constexpr double kMinTrackedShare = 0.01;

}  // namespace

auto RouteTimeoutTracker::Add(const std::string& route, bool at_deadline)
    -> void {
  auto found = timeout_shares_.find(route);
  if (found == timeout_shares_.end()) {
    if (!at_deadline || timeout_shares_.size() >= kMaxRoutes) {
      return;
    }
    found = timeout_shares_.emplace(route, 0.0).first;
  }
  auto& share = found->second;
  share += kSmoothingFactor * ((at_deadline ? 1.0 : 0.0) - share);
  if (share < kMinTrackedShare) {
    timeout_shares_.erase(found);
  }
}

auto RouteTimeoutTracker::IsTimeoutTooShort(const std::string& route) const
    -> bool {
  const auto found = timeout_shares_.find(route);
  return found != timeout_shares_.end() && found->second > kTooShortThreshold;
}

}  // namespace flamingoyoke
