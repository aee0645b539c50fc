#include "node/node_config.h"

#include <functional>
#include <random>
#include <string>
#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

auto FormatAddress(const NamedEndpoint& address) -> std::string {
  const auto host = address.endpoint.address.is_v6() ? "[" + address.host + "]"
                                                     : address.host;
  return host + ":" + std::to_string(address.endpoint.port);
}

auto MakeSeed() -> std::uint64_t {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

auto WallClockIncarnation() -> Incarnation {
  return Incarnation(static_cast<std::uint64_t>(WallClockMs()));
}

}  // namespace

NodeConfig::NodeConfig(Settings settings)
    : settings_(std::move(settings)),
      incarnation_(WallClockIncarnation()),
      seed_(MakeSeed()) {}

auto NodeConfig::Traffic() const -> TrafficConfig {
  TrafficConfig config;
  config.vm = settings_.vm.id;
  config.incarnation = WallClockIncarnation();
  config.listen_host = settings_.caller.address.host;
  config.listen_port = settings_.caller.address.endpoint.port;
  config.seed = seed_;
  config.request_limits.head_bytes = settings_.caller.max_header_bytes;
  config.caller_connections = settings_.caller.max_connections;
  config.body_budget_bytes = settings_.caller.body_budget_bytes;
  config.caller_idle_limit = settings_.caller.idle_timeout;
  config.address_time_to_live = settings_.caller.address_ttl;
  config.shutdown_hard_limit = settings_.shutdown.hard_limit;
  config.trace_share = settings_.trace.sample_rate;
  return config;
}

auto NodeConfig::Fleet() const -> FleetConfig {
  return {.self = {.id = settings_.vm.id,
                   .incarnation = incarnation_,
                   .failure_domain = settings_.vm.failure_domain,
                   .region = settings_.vm.region,
                   .address = FormatAddress(settings_.caller.address),
                   .mesh_address = FormatAddress(settings_.mesh.address)},
          .table_shards =
              static_cast<std::uint32_t>(settings_.platform.table_keys.size()),
          .seed = seed_};
}

auto NodeConfig::Mesh() const -> MeshConfig {
  MeshConfig config{.self = settings_.vm.id,
                    .incarnation = incarnation_,
                    .address = FormatAddress(settings_.mesh.address)};
  if (settings_.mesh.keys) {
    config.public_key = settings_.mesh.keys->public_key;
    config.secret_key = settings_.mesh.keys->secret_key;
  }
  return config;
}

auto NodeConfig::Platform() const -> PlatformConfig {
  return {.host = settings_.platform.address.host,
          .port = settings_.platform.address.endpoint.port,
          .table_keys = settings_.platform.table_keys,
          .watch_timeout = settings_.platform.watch_timeout,
          .seed = seed_};
}

auto NodeConfig::Admin() const -> AdminConfig {
  return {.host = settings_.admin.address.host,
          .port = settings_.admin.address.endpoint.port};
}

auto NodeConfig::Telemetry() const -> TelemetryConfig {
  return {.vm = settings_.vm.id.value(), .trace_file = settings_.trace.file};
}

}  // namespace flamingoyoke
