#ifndef FLAMINGOYOKE_TABLE_SERVICE_ROW_H_
#define FLAMINGOYOKE_TABLE_SERVICE_ROW_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// Whether requests to a service must or may carry an idempotency key.
enum class KeyPolicy { kRequired, kOptional, kNone };

template <>
struct EnumNames<KeyPolicy> {
  static constexpr auto kTable = std::to_array<NameEntry<KeyPolicy>>({
      {KeyPolicy::kRequired, "required"},
      {KeyPolicy::kOptional, "optional"},
      {KeyPolicy::kNone, "none"},
  });
};
static_assert(IsDense<KeyPolicy>());

// An upstream of a service.
struct TargetSpec {
  TargetId id;
  std::string host;
  std::uint16_t port = 0;
  double weight = 1.0;
  FailureDomainId failure_domain;

  auto operator==(const TargetSpec&) const -> bool = default;
};

// A validated row of the service table. docs/table.md lists the columns with
// their ranges and defaults.
struct ServiceRow {
  ServiceId service;
  std::vector<std::string> routes;
  std::vector<TargetSpec> targets;
  // Maximum number of concurrent requests per target.
  std::uint32_t slots = 2;
  // Maximum number of connections to one target from the whole fleet.
  std::uint32_t connections = 300;
  // Number of VMs in the home set.
  std::uint32_t home = 4;
  // Minimum share of healthy capacity, from 0 to 1.
  double floor = 0.5;
  Duration deadline = std::chrono::seconds(1);
  bool repeatable = true;
  KeyPolicy key_policy = KeyPolicy::kNone;
  // Maximum number of queued requests per VM.
  std::uint32_t queue_limit = 1000;
  // Rate limit in requests per second and burst size per team and VM; 0
  // disables the limit.
  double team_rate = 0;
  double team_burst = 0;
  // Body size in bytes from which a request counts as long-running; 0 disables
  // classification by body size.
  std::uint64_t long_bytes = 0;
  // Maximum share of slots used by long-running requests, from 0 to 1.
  double long_share = 0.5;
  std::uint64_t max_body_bytes = 1 << 20;
  // Maximum number of retries and hedges as a share of first attempts, from 0
  // to 1.
  double retry_share = 0.1;
  // Delay before a hedged second attempt; 0 disables hedging.
  Duration hedge_delay = Duration::zero();

  auto operator==(const ServiceRow&) const -> bool = default;
};

// A valid table with its revision.
struct Table {
  Revision revision;
  std::vector<ServiceRow> rows;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_SERVICE_ROW_H_
