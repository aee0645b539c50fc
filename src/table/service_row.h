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

// Whether requests of a service carry an idempotency key.
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

// One upstream of a service.
struct TargetSpec {
  TargetId id;
  std::string host;
  std::uint16_t port = 0;
  double weight = 1.0;
  FailureDomainId failure_domain;

  auto operator==(const TargetSpec&) const -> bool = default;
};

// One checked row of the operators' table; docs/table.md describes the
// columns with their ranges and defaults.
struct ServiceRow {
  ServiceId service;
  std::vector<std::string> routes;
  std::vector<TargetSpec> targets;
  // Requests that one target runs at a time.
  std::uint32_t slots = 2;
  // Connections that one target accepts from the whole fleet.
  std::uint32_t connections = 300;
  // Number of vms in the home set.
  std::uint32_t home = 4;
  // Least share of healthy capacity, 0 to 1.
  double floor = 0.5;
  Duration deadline = std::chrono::seconds(1);
  bool repeatable = true;
  KeyPolicy key_policy = KeyPolicy::kNone;
  // Requests that may wait on one vm.
  std::uint32_t queue_limit = 1000;
  // Requests per second and burst of one team on one vm; 0 means no limit.
  double team_rate = 0;
  double team_burst = 0;
  // A request whose body has at least this many bytes is long work; 0 means
  // that the body size says nothing.
  std::uint64_t long_bytes = 0;
  // Upper bound of the share of slots that long work may hold, 0 to 1.
  double long_share = 0.5;
  std::uint64_t max_body_bytes = 1 << 20;
  // Retries and hedges as a share of first attempts, 0 to 1.
  double retry_share = 0.1;
  // Delay before a hedged second attempt; 0 means no hedging.
  Duration hedge_delay = Duration::zero();

  auto operator==(const ServiceRow&) const -> bool = default;
};

// An accepted table.
struct Table {
  Revision revision;
  std::vector<ServiceRow> rows;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_SERVICE_ROW_H_
