#include "node/node_config.h"

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <utility>

#include "decision/fleet/published_shard.h"
#include "runtime/clock.h"

namespace flamingoyoke {
namespace {

// Targets are usually in the same region. Connecting to another target is
// faster than waiting for the SYN retransmission after one second.
constexpr Duration kGatewayConnectTimeout = std::chrono::milliseconds(200);
// Time that a stopping gateway waits beyond the address TTL. Callers that cache
// an address even longer must fail over to another one.
constexpr Duration kGatewayDrainMargin = std::chrono::milliseconds(1000);
// Reserved before the platform kills the process, for answers that report the
// outcome of unfinished requests.
constexpr Duration kHardStopMargin = std::chrono::milliseconds(400);
// Fraction of the allowed retry share that gateways use. The rest covers
// differences between measurement windows.
constexpr double kGatewayRetryFraction = 0.75;
constexpr double kMillicoresPerCore = 1000;
constexpr double kKbpsPerMbps = 1000;
// Divides the memory of the VM to limit request bodies. Buffered answers and
// the process itself need the rest.
constexpr std::uint64_t kBodyMemoryDivisor = 4;
// Divides the memory of the VM to limit buffered answers.
constexpr std::uint64_t kAnswerMemoryDivisor = 8;
// Share of the memory of the VM for all that is held for callers, including
// bodies and answers. With what the process itself takes, it stays below half
// of the memory of the smallest VMs.
constexpr std::uint64_t kCallerMemoryNumerator = 5;
constexpr std::uint64_t kCallerMemoryDenominator = 16;
// Divides the memory of the VM to limit what peers without keys may make it
// hold. The least leaves room for a message of the largest size beside all
// connections.
constexpr std::uint64_t kPeerMemoryDivisor = 16;
constexpr std::uint64_t kMinPeerMemoryBytes = 4'000'000;
constexpr std::uint64_t kBytesPerMegabyte = 1'000'000;

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
  config.body_budget_bytes =
      std::min(settings_.caller.body_budget_bytes,
               settings_.vm.memory_mb * kBytesPerMegabyte / kBodyMemoryDivisor);
  config.answer_memory_bytes =
      settings_.vm.memory_mb * kBytesPerMegabyte / kAnswerMemoryDivisor;
  config.caller_memory_bytes = settings_.vm.memory_mb * kBytesPerMegabyte *
                               kCallerMemoryNumerator /
                               kCallerMemoryDenominator;
  config.caller_idle_timeout = settings_.caller.idle_timeout;
  config.receive_timeout = settings_.caller.receive_timeout;
  config.caller_write_timeout = settings_.caller.write_timeout;
  config.address_ttl = settings_.caller.address_ttl;
  config.shutdown_hard_limit = settings_.shutdown.hard_limit;
  config.trace_sample_rate = settings_.trace.sample_rate;
  return config;
}

auto NodeConfig::Gateway(const GatewayDialect& dialect) const -> GatewayConfig {
  GatewayConfig config;
  config.traffic = Traffic();
  config.traffic.connect_timeout = kGatewayConnectTimeout;
  config.traffic.drain_margin = kGatewayDrainMargin;
  config.traffic.shutdown_hard_limit = std::max(
      config.traffic.shutdown_hard_limit - kHardStopMargin, Duration::zero());
  config.dialect = dialect;
  config.failure_domain = settings_.vm.failure_domain;
  const auto& gateway = settings_.gateway;
  config.status_addresses = {gateway.readiness_address,
                             gateway.directory_address};
  config.limits.floor_share = gateway.floor_share;
  config.limits.retry_share = kGatewayRetryFraction * gateway.retry_share;
  config.retry_slack = gateway.retry_slack;
  config.capacity = Capacity();
  config.request_processor_time = gateway.request_processor_time;
  return config;
}

auto NodeConfig::Store() const -> StoreConfig {
  StoreConfig config;
  config.host = settings_.platform.address.host;
  config.port = settings_.platform.address.endpoint.port;
  config.seed = seed_;
  return config;
}

auto NodeConfig::Fleet() const -> FleetConfig {
  auto config = TableFleet();
  if (source() == ServiceSource::kTable) {
    return config;
  }
  config.source = ServiceSource::kPublished;
  config.least_entries = settings_.gateway.least_entries;
  config.max_view_age = settings_.gateway.max_view_age;
  config.table_shards = kPublishedShards;
  for (const auto& seed : settings_.gateway.seeds) {
    if (seed.host != settings_.vm.id.value()) {
      config.seeds.push_back(
          {.id = VmId(seed.host), .mesh_address = FormatAddress(seed)});
    }
  }
  return config;
}

auto NodeConfig::TableFleet() const -> FleetConfig {
  return {.self = {.id = settings_.vm.id,
                   .incarnation = incarnation_,
                   .failure_domain = settings_.vm.failure_domain,
                   .region = settings_.vm.region,
                   .address = FormatAddress(settings_.caller.address),
                   .mesh_address = FormatAddress(settings_.mesh.address),
                   .capacity = Capacity()},
          .table_shards =
              static_cast<std::uint32_t>(settings_.platform.table_keys.size()),
          .seed = seed_};
}

auto NodeConfig::Capacity() const -> VmResources {
  const auto& vm = settings_.vm;
  return {static_cast<std::uint32_t>(kMillicoresPerCore * vm.processor_share *
                                     vm.cores),
          static_cast<std::uint32_t>(kKbpsPerMbps * vm.link_mbps)};
}

auto NodeConfig::Mesh() const -> MeshConfig {
  MeshConfig config{.self = settings_.vm.id,
                    .incarnation = incarnation_,
                    .address = FormatAddress(settings_.mesh.address)};
  config.receive_memory_bytes =
      std::max(kMinPeerMemoryBytes,
               settings_.vm.memory_mb * kBytesPerMegabyte / kPeerMemoryDivisor);
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
