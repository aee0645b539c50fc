#include "decision/gateway/route_expiry.h"

namespace flamingoyoke {
namespace {

// Three ends at the deadline in a row reach the limit. With a third of the
// targets so slow that all their work ends there, that comes about once in 27
// attempts, and one answer in time takes it back.
constexpr double kWeightOfLast = 0.25;
constexpr double kTooShortAbove = 0.5;
// A share below this is forgotten.
constexpr double kLeastShare = 0.01;

}  // namespace

auto RouteExpiry::Add(const std::string& route, bool at_deadline) -> void {
  auto found = shares_.find(route);
  if (found == shares_.end()) {
    if (!at_deadline || shares_.size() >= kMostRoutes) {
      return;
    }
    found = shares_.emplace(route, 0.0).first;
  }
  auto& share = found->second;
  share += kWeightOfLast * ((at_deadline ? 1.0 : 0.0) - share);
  if (share < kLeastShare) {
    shares_.erase(found);
  }
}

auto RouteExpiry::IsTooShort(const std::string& route) const -> bool {
  const auto found = shares_.find(route);
  return found != shares_.end() && found->second > kTooShortAbove;
}

}  // namespace flamingoyoke
