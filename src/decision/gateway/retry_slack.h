#ifndef FLAMINGOYOKE_DECISION_GATEWAY_RETRY_SLACK_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_RETRY_SLACK_H_

#include <cstddef>
#include <cstdint>

namespace flamingoyoke {

// Who shares the retries that a service may have beyond its share of first
// attempts.
struct RetrySharers {
  // Vms that callers are sent to.
  std::size_t entries = 0;
  // All vms, at least `entries`.
  std::size_t members = 0;
  bool is_entry = false;
};

// Returns how many of `slack` retries this vm may have on its own, so that all
// vms together stay within it. Callers also come to vms that are no entries, a
// few to each. Thread-safe.
auto RetrySlackOf(std::uint32_t slack, const RetrySharers& sharers)
    -> std::uint64_t;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_RETRY_SLACK_H_
