#ifndef FLAMINGOYOKE_NODE_TRAFFIC_BUILTIN_ENDPOINTS_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_BUILTIN_ENDPOINTS_H_

#include <string_view>

#include "core/random.h"
#include "core/time.h"
#include "decision/fleet/fleet_view.h"
#include "decision/idempotency/key_ledger.h"
#include "node/traffic/caller_exchange.h"
#include "node/traffic/route_table.h"

namespace flamingoyoke {

// Prefix of the paths that the node serves itself.
inline constexpr std::string_view kBuiltinPathPrefix = "/.flamingoyoke/";

// Input of the builtin endpoints. The references must be valid during the call.
struct BuiltinEndpointsContext {
  // Null until the first fleet view arrives.
  const FleetView* view = nullptr;
  const RouteTable& routes;
  const KeyLedger& ledger;
  KeyLedgerLimits key_limits;
  Duration address_ttl;
  // Whether the fleet view is recent enough to return addresses.
  bool addresses_known = false;
  bool leaving = false;
  TimePoint now;
};

// Serves `GET /.flamingoyoke/addresses` and `POST /.flamingoyoke/keys`.
auto HandleBuiltinEndpoint(CallerExchange& exchange,
                           const BuiltinEndpointsContext& context,
                           Random& random) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_BUILTIN_ENDPOINTS_H_
