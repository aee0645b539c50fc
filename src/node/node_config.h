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

// Derives the configuration of each task from the settings of the process.
// Thread-safe, because each task is created on its supervisor's thread.
class NodeConfig {
 public:
  // Derives the incarnation of the process from the wall clock.
  explicit NodeConfig(Settings settings);

  // Each call returns a new incarnation, because a restarted traffic task has
  // lost the keys that it issued before.
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
  // Resources of the VM that are available to callers' requests.
  [[nodiscard]] auto Capacity() const -> VmResources;

  const Settings settings_;
  const Incarnation incarnation_;
  const std::uint64_t seed_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_NODE_CONFIG_H_
