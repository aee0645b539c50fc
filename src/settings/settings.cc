#include "settings/settings.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "settings/json_document.h"
#include "settings/settings_group.h"

namespace flamingoyoke {
namespace {

using Json = nlohmann::json;
using Faults = SettingsGroup::Faults;

// VMs exchange their processor shares in units of a thousandth of a core.
constexpr NumberFieldRange kProcessorShareRange{0.001, 1, "cores"};
constexpr IntegerFieldRange kCoresRange{1, 1'024, "cores"};
constexpr NumberFieldRange kLinkRange{0.1, 1'000'000, "megabits per second"};
constexpr IntegerFieldRange kMemoryRange{16, 16'000'000, "megabytes"};
constexpr IntegerFieldRange kConnectionsRange{1, 65'536, "connections"};
constexpr IntegerFieldRange kHeaderRange{1'024, 1'048'576, "bytes"};
constexpr IntegerFieldRange kIdleRange{100, 3'600'000, "milliseconds"};
constexpr IntegerFieldRange kCallerTimeoutRange{3'000, 3'600'000,
                                                "milliseconds"};
// The minimum fits one body of the default `max_body_bytes` of a service.
constexpr IntegerFieldRange kBodyBudgetRange{1'048'576, 16'000'000'000,
                                             "bytes"};
constexpr IntegerFieldRange kAddressTtlRange{100, 600'000, "milliseconds"};
// The configuration service counts each watch as one call, so short watches
// would exceed its limit of 2,000 calls per second.
constexpr IntegerFieldRange kWatchRange{1'000, 300'000, "milliseconds"};
constexpr IntegerFieldRange kHardLimitRange{0, 3'600'000, "milliseconds"};
constexpr NumberFieldRange kHardLimitSecondsRange{0, 3'600, "seconds"};
constexpr IntegerFieldRange kEntriesRange{1, 1'000, "VMs"};
constexpr IntegerFieldRange kViewAgeRange{200, 60'000, "milliseconds"};
constexpr IntegerFieldRange kRequestTimeRange{1, 1'000'000, "microseconds"};
constexpr IntegerFieldRange kRetrySlackRange{0, 1'000'000, "attempts"};
constexpr std::size_t kMaxPathLength = 4'096;
constexpr std::size_t kMaxDisplayedNameLength = 64;

auto ReadVm(const Json& document, Faults& faults) -> VmSettings {
  SettingsGroup group(document, "vm", faults);
  VmSettings vm;
  vm.id = VmId(group.Name("id"));
  vm.failure_domain = FailureDomainId(group.Name("failure_domain"));
  vm.region = RegionId(group.Name("region"));
  vm.processor_share =
      group.Number("processor_share", kProcessorShareRange, vm.processor_share);
  vm.cores = static_cast<std::uint32_t>(
      group.WholePart("cores", kCoresRange, vm.cores));
  vm.link_mbps = group.Number("link_mbps", kLinkRange, vm.link_mbps);
  vm.memory_mb = group.WholePart("memory_mb", kMemoryRange, vm.memory_mb);
  group.AddUnknownFieldFaults();
  return vm;
}

auto ReadCaller(const Json& document, Faults& faults) -> CallerSettings {
  SettingsGroup group(document, "caller", faults);
  CallerSettings caller;
  caller.address = group.Address("address");
  caller.max_connections = static_cast<std::uint32_t>(group.Integer(
      "max_connections", kConnectionsRange, caller.max_connections));
  caller.max_header_bytes =
      group.Integer("max_header_bytes", kHeaderRange, caller.max_header_bytes);
  caller.idle_timeout =
      group.Milliseconds("idle_timeout_ms", kIdleRange, caller.idle_timeout);
  caller.receive_timeout = group.Milliseconds(
      "receive_timeout_ms", kCallerTimeoutRange, caller.receive_timeout);
  caller.write_timeout = group.Milliseconds(
      "write_timeout_ms", kCallerTimeoutRange, caller.write_timeout);
  caller.body_budget_bytes = group.Integer(
      "body_budget_bytes", kBodyBudgetRange, caller.body_budget_bytes);
  caller.address_ttl = group.Milliseconds("address_ttl_ms", kAddressTtlRange,
                                          caller.address_ttl);
  group.AddUnknownFieldFaults();
  return caller;
}

auto ReadMesh(const Json& document, Faults& faults) -> MeshSettings {
  SettingsGroup group(document, "mesh", faults);
  MeshSettings mesh;
  mesh.address = group.Address("address");
  auto public_key = group.CurveKey("public_key");
  auto secret_key = group.CurveKey("secret_key");
  if (public_key && secret_key) {
    mesh.keys = CurveKeys{std::move(*public_key), std::move(*secret_key)};
  } else if (public_key || secret_key) {
    faults.emplace_back(
        "mesh.public_key and mesh.secret_key must be set together, each with "
        "40 Z85 characters");
  }
  group.AddUnknownFieldFaults();
  return mesh;
}

auto ReadAdmin(const Json& document, Faults& faults) -> AdminSettings {
  SettingsGroup group(document, "admin", faults);
  AdminSettings admin;
  admin.address = group.Address("address");
  group.AddUnknownFieldFaults();
  return admin;
}

auto ReadPlatform(const Json& document, Faults& faults) -> PlatformSettings {
  SettingsGroup group(document, "platform", faults);
  PlatformSettings platform;
  platform.address = group.Address("address");
  platform.table_keys = group.Names("table_keys", platform.table_keys);
  platform.watch_timeout = group.Milliseconds("watch_timeout_ms", kWatchRange,
                                              platform.watch_timeout);
  group.AddUnknownFieldFaults();
  return platform;
}

auto ReadShutdown(const Json& document, Faults& faults) -> ShutdownSettings {
  SettingsGroup group(document, "shutdown", faults);
  ShutdownSettings shutdown;
  shutdown.hard_limit =
      group.Milliseconds("hard_limit_ms", kHardLimitRange, shutdown.hard_limit);
  shutdown.hard_limit = group.Seconds("hard_limit_s", kHardLimitSecondsRange,
                                      shutdown.hard_limit);
  group.AddUnknownFieldFaults();
  return shutdown;
}

auto ReadLog(const Json& document, Faults& faults) -> LogSettings {
  SettingsGroup group(document, "log", faults);
  LogSettings log;
  log.level = group.Enum("level", log.level);
  log.format = group.Enum("format", log.format);
  group.AddUnknownFieldFaults();
  return log;
}

auto ReadTrace(const Json& document, Faults& faults) -> TraceSettings {
  SettingsGroup group(document, "trace", faults);
  TraceSettings trace;
  trace.sample_rate = group.Share("sample_rate", trace.sample_rate);
  trace.file = group.Text("file", kMaxPathLength);
  group.AddUnknownFieldFaults();
  return trace;
}

auto ReadGateway(const Json& document, const Settings& settings, Faults& faults)
    -> GatewaySettings {
  SettingsGroup group(document, "gateway", faults);
  GatewaySettings gateway;
  gateway.source = group.Enum("source", gateway.source);
  if (gateway.source == ServiceSource::kPublished) {
    gateway.readiness_address = group.Address("readiness_address");
    gateway.directory_address = group.Address("directory_address");
    gateway.seeds = group.Addresses("seeds");
    gateway.least_entries = static_cast<std::uint32_t>(
        group.Integer("least_entries", kEntriesRange, gateway.least_entries));
    gateway.max_view_age = std::chrono::milliseconds(group.Integer(
        "max_view_age_ms", kViewAgeRange,
        static_cast<std::uint64_t>(ToMilliseconds(gateway.max_view_age))));
    gateway.request_processor_time = std::chrono::microseconds(group.Integer(
        "request_processor_us", kRequestTimeRange,
        static_cast<std::uint64_t>(gateway.request_processor_time.count())));
    gateway.floor_share = group.Share("floor_share", gateway.floor_share);
    gateway.retry_share = group.Share("retry_share", gateway.retry_share);
    gateway.retry_slack = static_cast<std::uint32_t>(
        group.WholePart("retry_slack", kRetrySlackRange, gateway.retry_slack));
    if (settings.vm.id.value() != settings.mesh.address.host) {
      group.AddFault(
          "source", nullptr,
          "needs the host of mesh.address as vm.id, since seeds name "
          "VMs by their address alone");
    }
  }
  group.AddUnknownFieldFaults();
  return gateway;
}

// Returns the addresses that the process listens on, with their fields.
auto ListenAddresses(const Settings& settings)
    -> std::vector<std::pair<std::string, const NamedEndpoint*>> {
  std::vector<std::pair<std::string, const NamedEndpoint*>> addresses = {
      {"caller.address", &settings.caller.address},
      {"mesh.address", &settings.mesh.address},
      {"admin.address", &settings.admin.address}};
  if (settings.gateway.source == ServiceSource::kPublished) {
    addresses.emplace_back("gateway.readiness_address",
                           &settings.gateway.readiness_address);
    addresses.emplace_back("gateway.directory_address",
                           &settings.gateway.directory_address);
  }
  return addresses;
}

// A process would wait forever for an address that it holds itself.
auto AddEqualAddressFaults(const Settings& settings, Faults& faults) -> void {
  std::map<std::string, std::string> fields;
  for (const auto& [field, address] : ListenAddresses(settings)) {
    if (address->text.empty()) {
      continue;
    }
    const auto [first, is_new] = fields.emplace(address->text, field);
    if (!is_new) {
      faults.push_back(field + " is " + address->text + " like " +
                       first->second + "; each needs an address of its own");
    }
  }
}

auto AddUnknownGroupFaults(const Json& document, Faults& faults) -> void {
  constexpr auto kGroups = std::to_array<std::string_view>(
      {"vm", "caller", "mesh", "admin", "platform", "shutdown", "log", "trace",
       "gateway"});
  for (const auto& [name, value] : document.items()) {
    if (std::find(kGroups.begin(), kGroups.end(), name) == kGroups.end()) {
      faults.push_back(Json(name.substr(0, kMaxDisplayedNameLength))
                           .dump(-1, ' ', /*ensure_ascii=*/true,
                                 Json::error_handler_t::replace) +
                       " is unknown; the groups are vm, caller, mesh, admin, "
                       "platform, shutdown, log, trace, gateway");
    }
  }
}

auto Join(const Faults& faults) -> std::string {
  std::string lines;
  for (const auto& fault : faults) {
    lines += (lines.empty() ? "" : "\n") + fault;
  }
  return lines;
}

}  // namespace

auto ReadSettings(std::string_view json_with_comments) -> Result<Settings> {
  if (json_with_comments.size() > kMaxSettingsBytes) {
    return Fail(ErrorKind::kSettingsInvalid,
                "the settings have " +
                    std::to_string(json_with_comments.size()) +
                    " bytes; at most " + std::to_string(kMaxSettingsBytes) +
                    " are accepted");
  }
  BOOST_LEAF_AUTO(document, ParseJsonObject(json_with_comments));
  Faults faults;
  Settings settings;
  settings.vm = ReadVm(document, faults);
  settings.caller = ReadCaller(document, faults);
  settings.mesh = ReadMesh(document, faults);
  settings.admin = ReadAdmin(document, faults);
  settings.platform = ReadPlatform(document, faults);
  settings.shutdown = ReadShutdown(document, faults);
  settings.log = ReadLog(document, faults);
  settings.trace = ReadTrace(document, faults);
  settings.gateway = ReadGateway(document, settings, faults);
  AddUnknownGroupFaults(document, faults);
  AddEqualAddressFaults(settings, faults);
  if (!faults.empty()) {
    return Fail(ErrorKind::kSettingsInvalid, Join(faults));
  }
  return settings;
}

}  // namespace flamingoyoke
