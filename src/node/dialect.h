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
#include "table/registry.h"
#include "table/routing.h"

namespace flamingoyoke {

// How the surroundings of a fleet spell what the fleet means: names of
// headers, paths of calls, and the form of published values. An adapter fills
// this in; nothing in the fleet knows another spelling. All functions must be
// thread-safe and not throw.

// Names of HTTP headers, compared without regard to case.
struct HeaderNames {
  // Caller's id of a request; answers repeat it.
  std::string request_id;
  // Milliseconds that the sender still waits.
  std::string time_left_ms;
  // Marks an answer as the target's own.
  std::string signature;
  // Id of the target that alone may run the request.
  std::string expected_target;
  // Present if the target did not run the request.
  std::string not_run;
};

// How callers and health checks talk to a gateway.
struct GatewayDialect {
  HeaderNames headers;
  // Answered with 200 while the vm takes callers.
  std::string readiness_path;
  // Answered with the addresses of gateways.
  std::string addresses_path;
  // Returns the JSON answer with the addresses, which callers may keep for the
  // given time.
  std::function<std::string(const std::vector<std::string>&, Duration)>
      write_addresses;
  // Status by which a target says that another one was expected.
  int other_target_status = 421;
  // Whether Retry-After may hold a fraction of a second.
  bool fractional_retry_after = false;
};

// One entry of the published store.
struct StoreItem {
  std::string key;
  // Empty if the entry was removed.
  std::string value;
  bool removed = false;
};

// An answer of the store to a list or watch.
struct StorePage {
  std::vector<StoreItem> items;
  // Revision of the store that the answer describes.
  std::uint64_t as_of = 0;
  // Whether a list goes on after the last key.
  bool has_more = false;
};

// Keys of the store that mean something to the fleet.
struct RoutingKey {};
struct TargetKey {
  TargetId target;
};
struct OtherKey {};
using StoreKey = std::variant<RoutingKey, TargetKey, OtherKey>;

// How the published store is read.
struct StoreDialect {
  // Request target that lists all entries after a key; empty starts.
  std::function<std::string(std::string_view after_key)> list_target;
  // Request target that returns changes after a revision, waiting for one.
  std::function<std::string(std::uint64_t after, Duration wait)> watch_target;
  // Status that says that the changes after the revision are forgotten.
  int forgotten_status = 410;
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
