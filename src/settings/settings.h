#ifndef FLAMINGOYOKE_SETTINGS_SETTINGS_H_
#define FLAMINGOYOKE_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/log_level.h"
#include "core/result.h"
#include "core/service_source.h"
#include "core/time.h"

namespace flamingoyoke {

// See docs/operations/settings.md for all fields and their ranges.

// Identity and resources of the VM that this process runs on.
struct VmSettings {
  VmId id;
  FailureDomainId failure_domain;
  RegionId region;
  // Resource limits of this process.
  double processor_share = 1;
  std::uint32_t cores = 1;
  double link_mbps = 1000;
  std::uint64_t memory_mb = 512;
};

// Settings of the server for callers.
struct CallerSettings {
  NamedEndpoint address;
  std::uint32_t max_connections = 1024;
  std::uint64_t max_header_bytes = 16'384;
  Duration idle_timeout = std::chrono::seconds(60);
  // Time for the head of a request, and without a byte of its body.
  Duration receive_timeout = std::chrono::seconds(30);
  // Time without progress while a response is sent.
  Duration write_timeout = std::chrono::seconds(30);
  // Maximum total size of the request bodies in memory.
  std::uint64_t body_budget_bytes = 64'000'000;
  // How long callers may cache the addresses of a directory response.
  Duration address_ttl = std::chrono::seconds(5);
};

// CURVE key pair of this process, encoded in Z85.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
};

// Settings of the messaging between nodes.
struct MeshSettings {
  NamedEndpoint address;
  // Without keys, messages are neither encrypted nor authenticated.
  std::optional<CurveKeys> keys;
};

// Settings of the server for operators.
struct AdminSettings {
  NamedEndpoint address;
};

// Settings of the client of the configuration service, which also lists the
// VMs.
struct PlatformSettings {
  NamedEndpoint address;
  std::vector<std::string> table_keys = {"table"};
  Duration watch_timeout = std::chrono::seconds(30);
};

struct ShutdownSettings {
  // Maximum time from the first signal until the remaining requests are
  // answered and the process exits.
  Duration hard_limit = std::chrono::seconds(60);
};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kText;
};

struct TraceSettings {
  // Share of requests that are traced among those that arrive without a
  // sampling decision.
  double sample_rate = 0;
  // Output file for spans in OTLP JSON format; spans are dropped if empty.
  std::string file;
};

// Settings for services from a published store instead of the service table.
struct GatewaySettings {
  ServiceSource source = ServiceSource::kTable;
  // Addresses of the readiness endpoint and of the directory, which callers
  // query for addresses.
  NamedEndpoint readiness_address;
  NamedEndpoint directory_address;
  // Mesh addresses of the VMs used to discover the other VMs.
  std::vector<NamedEndpoint> seeds;
  // Minimum number of VMs in directory responses while the fleet is idle.
  std::uint32_t least_entries = 3;
  // Maximum time without news of the published store before a VM reads it
  // itself. Half of the two seconds within which a change must be in force.
  Duration max_view_age = std::chrono::seconds(1);
  // Processor time per request. The default corresponds to 0.064 of a core at
  // 49 requests/s.
  Duration request_processor_time = std::chrono::microseconds(1300);
  // Minimum share of a service's targets that health checks must not exclude.
  double floor_share = 0.7;
  // Retry budget of all gateways together in 10 s: a share of the requests plus
  // a fixed number of attempts.
  double retry_share = 0.2;
  std::uint32_t retry_slack = 50;
};

// Settings read at startup. All other configuration is in the table.
struct Settings {
  VmSettings vm;
  CallerSettings caller;
  MeshSettings mesh;
  AdminSettings admin;
  PlatformSettings platform;
  ShutdownSettings shutdown;
  LogSettings log;
  TraceSettings trace;
  GatewaySettings gateway;
};

// Maximum size of a settings file.
inline constexpr std::size_t kMaxSettingsBytes = 65'536;

// Parses settings from JSON that may contain comments. Fails with
// kSettingsInvalid; the detail has one line per fault with the path, unit and
// accepted range of the field, and never contains the secret key. Accepts
// arbitrary input. Thread-safe.
auto ReadSettings(std::string_view json_with_comments) -> Result<Settings>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_SETTINGS_SETTINGS_H_
