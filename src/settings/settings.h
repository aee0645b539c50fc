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

// docs/operations/settings.md describes every field with its range.

// Which vm this process is.
struct VmSettings {
  VmId id;
  FailureDomainId failure_domain;
  RegionId region;
  // What the process may use of the machine.
  double processor_share = 1;
  std::uint32_t cores = 1;
  double link_mbps = 1000;
  std::uint64_t memory_mb = 512;
};

// The server for callers.
struct CallerSettings {
  NamedEndpoint address;
  std::uint32_t max_connections = 1024;
  std::uint64_t max_header_bytes = 16'384;
  Duration idle_timeout = std::chrono::seconds(60);
  // Sum of the request bodies held at a time.
  std::uint64_t body_budget_bytes = 64'000'000;
  // How long callers may cache the addresses that they are given.
  Duration address_ttl = std::chrono::seconds(5);
};

// CURVE keys of this process in Z85.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
};

// Messages between nodes.
struct MeshSettings {
  NamedEndpoint address;
  // Absent: messages are neither encrypted nor authenticated.
  std::optional<CurveKeys> keys;
};

// The server for operators.
struct AdminSettings {
  NamedEndpoint address;
};

// The configuration service and the list of vms.
struct PlatformSettings {
  NamedEndpoint address;
  std::vector<std::string> table_keys = {"table"};
  Duration watch_timeout = std::chrono::seconds(30);
};

struct ShutdownSettings {
  // Time from the first signal until every remaining request is answered and
  // the process exits.
  Duration hard_limit = std::chrono::seconds(60);
};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kText;
};

struct TraceSettings {
  // Share of requests without a sampling decision of their own that are
  // traced.
  double sample_rate = 0;
  // File for spans as OTLP JSON; empty means that spans are dropped.
  std::string file;
};

// Services from a published store instead of the operators' table.
struct GatewaySettings {
  ServiceSource source = ServiceSource::kTable;
  // Where readiness is asked, and where callers ask for addresses.
  NamedEndpoint readiness_address;
  NamedEndpoint directory_address;
  // Mesh addresses of vms to learn the others from.
  std::vector<NamedEndpoint> seeds;
  // Vms that callers are sent to while the fleet is idle.
  std::uint32_t least_entries = 3;
  // Processor time that one request takes. The default was measured on the
  // users' bench: 0.064 of a core at 49 requests/s.
  Duration request_processor_time = std::chrono::microseconds(1300);
  // Least share of a service's targets that health never excludes.
  double floor_share = 0.7;
  // Attempts of all gateways after the first one of each request, in 10 s: a
  // share of the requests, and a number that is allowed beside it.
  double retry_share = 0.2;
  std::uint32_t retry_slack = 50;
};

// What a process is told at start. Everything else is in the table.
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

// Largest settings text.
inline constexpr std::size_t kMaxSettingsBytes = 65'536;

// Reads settings from JSON, in which comments are allowed. Fails with
// kSettingsInvalid; the detail has one line per fault with the path of the
// field, the unit and the accepted range. Never shows the secret key. Safe for
// any bytes. Thread-safe.
auto ReadSettings(std::string_view json_with_comments) -> Result<Settings>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_SETTINGS_SETTINGS_H_
