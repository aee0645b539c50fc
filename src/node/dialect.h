#ifndef FLAMINGOYOKE_NODE_DIALECT_H_
#define FLAMINGOYOKE_NODE_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.h"
#include "core/result.h"
#include "core/time.h"
#include "decision/gateway/load_estimate.h"
#include "table/registry.h"
#include "table/routing.h"

namespace flamingoyoke {

// The protocol details that depend on the environment of a fleet: names of
// headers, paths of requests, and the format of published values. An adapter
// provides them, and the rest of the fleet takes them from here. All functions
// must be thread-safe and not throw.

// Names of HTTP headers, compared case-insensitively.
struct HeaderNames {
  // Request id set by the caller, echoed in the answer.
  std::string request_id;
  // Remaining time in milliseconds until the sender stops waiting.
  std::string remaining_time_ms;
  // Present in answers that the target itself produced.
  std::string signature;
  // Id of the only target that may execute the request.
  std::string expected_target;
  // Present if the target did not execute the request.
  std::string not_run;
  // "1" in the answers of a target that leaves.
  std::string leaving = {};
  // Key of the caller's team. Never sent to a target.
  std::string team_key = {};
  // Name of the caller's team, set for the target whatever the caller sent.
  std::string team = {};
  // The target's load in its answers; see GatewayDialect::read_load.
  std::string load = {};
};

// The protocol between a gateway and its callers and health checks.
struct GatewayDialect {
  HeaderNames headers;
  // Returns status 200 while the VM accepts callers.
  std::string readiness_path;
  // Returns the addresses of the gateways.
  std::string addresses_path;
  // Encodes the addresses as a JSON document that callers may cache for the
  // given duration.
  std::function<std::string(const std::vector<std::string>&, Duration)>
      write_addresses;
  // Statuses that callers take for a promise that a request has not run and
  // never will, whether the answer is a target's or the gateway's.
  std::vector<int> not_run_statuses;
  // Status of a target that is not the one the request expected.
  int misdirected_status = 421;
  // Whether Retry-After may contain fractional seconds.
  bool fractional_retry_after = false;
  // Decodes the value of the load header; nothing if it is malformed. Unset if
  // targets don't state their load.
  std::function<std::optional<StatedLoad>(std::string_view)> read_load = {};
};

// One entry of the published store.
struct StoreItem {
  std::string key;
  // Empty if the entry was removed or is unreadable.
  std::string value;
  bool removed = false;
  // Why the value cannot be decoded; empty if it can.
  std::string unreadable = {};
};

// The store's answer to a list or watch request.
struct StorePage {
  std::vector<StoreItem> items;
  // Store revision that the answer reflects.
  std::uint64_t as_of = 0;
  // Whether the list continues after the last key.
  bool has_more = false;
};

// Classification of the store's keys.
struct RoutingKey {};
struct TargetKey {
  TargetId target;
};
struct OtherKey {};
using StoreKey = std::variant<RoutingKey, TargetKey, OtherKey>;

// The protocol for reading the published store.
struct StoreDialect {
  // Returns the request target that lists all entries after a key. An empty key
  // starts at the first entry.
  std::function<std::string(std::string_view after_key)> list_target;
  // Returns the request target of a long poll for changes after a revision.
  std::function<std::string(std::uint64_t after, Duration wait)> watch_target;
  // Status of the store when it has compacted the changes after the revision.
  int compacted_status = 410;
  // Header in which each answer names the era of the store, a whole number that
  // rises each time the store returns from an older copy. Answers without it
  // are of era 0.
  std::string era_header = {};
  // A value that cannot be decoded must not hide the other entries of the page.
  std::function<Result<StorePage>(std::string_view body)> read_page;
  std::function<StoreKey(std::string_view key)> read_key;
  // Both fail with kTableRefused and a reason.
  std::function<Result<Routing>(std::string_view value)> read_routing;
  std::function<Result<RegisteredTarget>(const TargetId& id,
                                         std::string_view value)>
      read_target;
};

struct Dialect {
  GatewayDialect gateway;
  StoreDialect store;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_DIALECT_H_
