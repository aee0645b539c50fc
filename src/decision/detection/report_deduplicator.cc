#include "decision/detection/report_deduplicator.h"

#include <algorithm>
#include <functional>

namespace flamingoyoke {
namespace {

// Mixes `value` into the hash `digest`.
auto Mix(std::uint64_t digest, std::uint64_t value) -> std::uint64_t {
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15ULL;
  digest ^= value + kMultiplier + (digest << 6) + (digest >> 2);
  return digest * kMultiplier;
}

}  // namespace

auto ReportDeduplicator::IsNew(const VmId& sender,
                               LoanId loan,
                               const std::vector<TargetOutcomes>& outcomes,
                               TimePoint now) -> bool {
  while (!seen_.empty() && (now - seen_.front().at >= kRetention ||
                            seen_.size() >= kMaxRemembered)) {
    seen_.pop_front();
  }
  auto digest = Mix(std::hash<VmId>{}(sender), loan.value());
  bool has_failures = false;
  for (const auto& entry : outcomes) {
    has_failures =
        has_failures || entry.failed + entry.timed_out + entry.slow > 0;
    digest = Mix(digest, std::hash<TargetId>{}(entry.target));
    for (const auto count :
         {entry.succeeded, entry.failed, entry.timed_out, entry.slow}) {
      digest = Mix(digest, count);
    }
  }
  if (!has_failures) {
    return true;
  }
  const bool is_repeated =
      std::any_of(seen_.begin(), seen_.end(),
                  [&](const auto& seen) { return seen.digest == digest; });
  if (!is_repeated) {
    seen_.push_back({digest, now});
  }
  return !is_repeated;
}

}  // namespace flamingoyoke
