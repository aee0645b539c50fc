#include "decision/gateway/run_shares.h"

namespace flamingoyoke {
namespace {

constexpr Duration kWindow = std::chrono::seconds(2);

}  // namespace

auto RunShares::Add(std::uint32_t priority, TimePoint now) -> void {
  attempts_[priority].Add({.trials = 1}, now);
}

auto RunShares::ShareBefore(std::uint32_t priority, TimePoint now) const
    -> double {
  std::uint64_t before = 0;
  std::uint64_t all = 0;
  for (const auto& [each, window] : attempts_) {
    const auto attempts = window.Since(now - kWindow, now).trials;
    all += attempts;
    before += each < priority ? attempts : 0;
  }
  return all == 0 ? 0.0
                  : static_cast<double>(before) / static_cast<double>(all);
}

}  // namespace flamingoyoke
