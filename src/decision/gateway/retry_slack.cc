#include "decision/gateway/retry_slack.h"

#include <algorithm>

namespace flamingoyoke {
namespace {

// Entries get a third: their share of the first attempts is mostly larger than
// any slack. Two thirds leave one retry to each of 37 others on a site with a
// slack of 60.
constexpr std::uint64_t kPartOfEntries = 3;
// A vm that has just started knows few of the others.
constexpr std::uint64_t kMostOfOthers = 2;

}  // namespace

auto RetrySlackOf(std::uint32_t slack, const RetrySharers& sharers)
    -> std::uint64_t {
  const std::uint64_t for_entries = slack / kPartOfEntries;
  if (sharers.is_entry) {
    return for_entries / std::max<std::size_t>(sharers.entries, 1);
  }
  const auto others =
      sharers.members > sharers.entries ? sharers.members - sharers.entries : 1;
  return std::min((slack - for_entries) / others, kMostOfOthers);
}

}  // namespace flamingoyoke
