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

// Requests for paths below this prefix are for the fleet itself.
inline constexpr std::string_view kBuiltinPathPrefix = "/.flamingoyoke/";

// What the endpoints answer from. The references must hold during the call.
struct BuiltinEndpointsContext {
  // Null before the first view.
  const FleetView* view = nullptr;
  const RouteTable& routes;
  const KeyLedger& ledger;
  KeyLedgerLimits key_limits;
  Duration address_ttl;
  // Whether this vm knows enough of the fleet to name addresses.
  bool addresses_known = false;
  bool leaving = false;
  TimePoint now;
};

// Answers `GET /.flamingoyoke/addresses` and `POST /.flamingoyoke/keys`.
auto HandleBuiltinEndpoint(CallerExchange& exchange,
                           const BuiltinEndpointsContext& context,
                           Random& random) -> void;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_BUILTIN_ENDPOINTS_H_
