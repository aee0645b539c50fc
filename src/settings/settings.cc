#include "settings/settings.h"

#include <algorithm>
#include <utility>

#include "settings/json_document.h"
#include "settings/settings_group.h"

namespace flamingoyoke {
namespace {

using Json = nlohmann::json;
using Faults = SettingsGroup::Faults;

// A thousandth of a core is the unit in which vms tell each other of theirs.
constexpr NumberField kProcessorShareField{0.001, 1, "cores"};
constexpr CountField kCoresField{1, 1'024, "cores"};
constexpr NumberField kLinkField{0.1, 1'000'000, "megabits per second"};
constexpr CountField kMemoryField{16, 16'000'000, "megabytes"};
constexpr CountField kConnectionsField{1, 65'536, "connections"};
constexpr CountField kHeaderField{1'024, 1'048'576, "bytes"};
constexpr CountField kIdleField{100, 3'600'000, "milliseconds"};
// One body of the default `max_body_bytes` of a service must fit.
constexpr CountField kBodyBudgetField{1'048'576, 16'000'000'000, "bytes"};
constexpr CountField kAddressTtlField{100, 600'000, "milliseconds"};
// The configuration service counts a waiting watch as one call, so short
// watches would use up its limit of 2,000 calls a second.
constexpr CountField kWatchField{1'000, 300'000, "milliseconds"};
constexpr CountField kHardLimitField{0, 3'600'000, "milliseconds"};
constexpr CountField kEntriesField{1, 1'000, "vms"};
constexpr CountField kRequestTimeField{1, 1'000'000, "microseconds"};
constexpr CountField kRetrySlackField{0, 1'000'000, "attempts"};
constexpr std::size_t kMaxPathLength = 4'096;
constexpr std::size_t kMaxShownName = 64;

auto ReadVm(const Json& document, Faults& faults) -> VmSettings {
  SettingsGroup group(document, "vm", faults);
  VmSettings vm;
  vm.id = VmId(group.Name("id"));
  vm.failure_domain = FailureDomainId(group.Name("failure_domain"));
  vm.region = RegionId(group.Name("region"));
  vm.processor_share =
      group.Number("processor_share", kProcessorShareField, vm.processor_share);
  vm.cores =
      static_cast<std::uint32_t>(group.Count("cores", kCoresField, vm.cores));
  vm.link_mbps = group.Number("link_mbps", kLinkField, vm.link_mbps);
  vm.memory_mb = group.Count("memory_mb", kMemoryField, vm.memory_mb);
  group.RefuseUnknownFields();
  return vm;
}

auto ReadCaller(const Json& document, Faults& faults) -> CallerSettings {
  SettingsGroup group(document, "caller", faults);
  CallerSettings caller;
  caller.address = group.Address("address");
  caller.max_connections = static_cast<std::uint32_t>(group.Count(
      "max_connections", kConnectionsField, caller.max_connections));
  caller.max_header_bytes =
      group.Count("max_header_bytes", kHeaderField, caller.max_header_bytes);
  caller.idle_timeout =
      group.Milliseconds("idle_timeout_ms", kIdleField, caller.idle_timeout);
  caller.body_budget_bytes = group.Count("body_budget_bytes", kBodyBudgetField,
                                         caller.body_budget_bytes);
  caller.address_ttl = group.Milliseconds("address_ttl_ms", kAddressTtlField,
                                          caller.address_ttl);
  group.RefuseUnknownFields();
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
  group.RefuseUnknownFields();
  return mesh;
}

auto ReadAdmin(const Json& document, Faults& faults) -> AdminSettings {
  SettingsGroup group(document, "admin", faults);
  AdminSettings admin;
  admin.address = group.Address("address");
  group.RefuseUnknownFields();
  return admin;
}

auto ReadPlatform(const Json& document, Faults& faults) -> PlatformSettings {
  SettingsGroup group(document, "platform", faults);
  PlatformSettings platform;
  platform.address = group.Address("address");
  platform.table_keys = group.Names("table_keys", platform.table_keys);
  platform.watch_timeout = group.Milliseconds("watch_timeout_ms", kWatchField,
                                              platform.watch_timeout);
  group.RefuseUnknownFields();
  return platform;
}

auto ReadShutdown(const Json& document, Faults& faults) -> ShutdownSettings {
  SettingsGroup group(document, "shutdown", faults);
  ShutdownSettings shutdown;
  shutdown.hard_limit =
      group.Milliseconds("hard_limit_ms", kHardLimitField, shutdown.hard_limit);
  group.RefuseUnknownFields();
  return shutdown;
}

auto ReadLog(const Json& document, Faults& faults) -> LogSettings {
  SettingsGroup group(document, "log", faults);
  LogSettings log;
  log.level = group.Choice("level", log.level);
  log.format = group.Choice("format", log.format);
  group.RefuseUnknownFields();
  return log;
}

auto ReadTrace(const Json& document, Faults& faults) -> TraceSettings {
  SettingsGroup group(document, "trace", faults);
  TraceSettings trace;
  trace.sample_rate = group.Share("sample_rate", trace.sample_rate);
  trace.file = group.Text("file", kMaxPathLength);
  group.RefuseUnknownFields();
  return trace;
}

auto ReadGateway(const Json& document, const Settings& settings, Faults& faults)
    -> GatewaySettings {
  SettingsGroup group(document, "gateway", faults);
  GatewaySettings gateway;
  gateway.source = group.Choice("source", gateway.source);
  if (gateway.source == ServiceSource::kPublished) {
    gateway.readiness_address = group.Address("readiness_address");
    gateway.directory_address = group.Address("directory_address");
    gateway.seeds = group.Addresses("seeds");
    gateway.least_entries = static_cast<std::uint32_t>(
        group.Count("least_entries", kEntriesField, gateway.least_entries));
    gateway.request_processor_time = std::chrono::microseconds(group.Count(
        "request_processor_us", kRequestTimeField,
        static_cast<std::uint64_t>(gateway.request_processor_time.count())));
    gateway.floor_share = group.Share("floor_share", gateway.floor_share);
    gateway.retry_share = group.Share("retry_share", gateway.retry_share);
    gateway.retry_slack = static_cast<std::uint32_t>(
        group.Count("retry_slack", kRetrySlackField, gateway.retry_slack));
    if (settings.vm.id.value() != settings.mesh.address.host) {
      group.Refuse("source", nullptr,
                   "needs the host of mesh.address as vm.id, since seeds name "
                   "vms by their address alone");
    }
  }
  group.RefuseUnknownFields();
  return gateway;
}

auto RefuseUnknownGroups(const Json& document, Faults& faults) -> void {
  constexpr auto kGroups = std::to_array<std::string_view>(
      {"vm", "caller", "mesh", "admin", "platform", "shutdown", "log", "trace",
       "gateway"});
  for (const auto& [name, value] : document.items()) {
    if (std::find(kGroups.begin(), kGroups.end(), name) == kGroups.end()) {
      faults.push_back(Json(name.substr(0, kMaxShownName))
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
  RefuseUnknownGroups(document, faults);
  if (!faults.empty()) {
    return Fail(ErrorKind::kSettingsInvalid, Join(faults));
  }
  return settings;
}

}  // namespace flamingoyoke
