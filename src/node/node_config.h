#ifndef FLAMINGOYOKE_NODE_NODE_CONFIG_H_
#define FLAMINGOYOKE_NODE_NODE_CONFIG_H_

#include "core/ids.h"
#include "node/control/fleet/fleet_config.h"
#include "node/control/mesh/mesh_config.h"
#include "node/control/platform/platform_config.h"
#include "node/control/store/store_config.h"
#include "node/observe/admin/admin_config.h"
#include "node/observe/telemetry/telemetry_config.h"
#include "node/traffic/gateway/gateway_config.h"
#include "node/traffic/traffic_config.h"
#include "settings/settings.h"

namespace flamingoyoke {

// Turns the settings of the process into the configuration of each task.
// Thread-safe: a task is made on the thread of its supervisor.
class NodeConfig {
 public:
  // Takes the incarnation of the process from the wall clock.
  explicit NodeConfig(Settings settings);

  // Each call gives a traffic task an incarnation of its own, since the keys
  // that an earlier one issued are lost with its memory.
  [[nodiscard]] auto Traffic() const -> TrafficConfig;
  // Precondition: the services come from a published store.
  [[nodiscard]] auto Gateway(const GatewayDialect& dialect) const
      -> GatewayConfig;
  [[nodiscard]] auto Store() const -> StoreConfig;
  [[nodiscard]] auto source() const -> ServiceSource {
    return settings_.gateway.source;
  }
  [[nodiscard]] auto Fleet() const -> FleetConfig;
  [[nodiscard]] auto Mesh() const -> MeshConfig;
  [[nodiscard]] auto Platform() const -> PlatformConfig;
  [[nodiscard]] auto Admin() const -> AdminConfig;
  [[nodiscard]] auto Telemetry() const -> TelemetryConfig;

 private:
  [[nodiscard]] auto TableFleet() const -> FleetConfig;
  // What the vm has for callers' requests.
  [[nodiscard]] auto Capacity() const -> VmResources;

  const Settings settings_;
  const Incarnation incarnation_;
  const std::uint64_t seed_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_NODE_CONFIG_H_
