#ifndef FLAMINGOYOKE_DECISION_GATEWAY_RETRY_SLACK_H_
#define FLAMINGOYOKE_DECISION_GATEWAY_RETRY_SLACK_H_

#include <cstddef>
#include <cstdint>

namespace flamingoyoke {

// VMs that share the retry slack of a service, which is allowed in addition to
// its share of first attempts.
struct RetrySlackScope {
  // Number of entry VMs, to which callers are directed.
  std::size_t entries = 0;
  // Number of all VMs; at least `entries`.
  std::size_t members = 0;
  bool is_entry = false;
};

// Returns the part of `slack` that this VM may use so that all VMs together do
// not exceed it. VMs that are not entries receive a few requests too.
// Thread-safe.
auto LocalRetrySlack(std::uint32_t slack, const RetrySlackScope& scope)
    -> std::uint64_t;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_DECISION_GATEWAY_RETRY_SLACK_H_
