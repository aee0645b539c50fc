#include "integration/support/published_fleet.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

constexpr int kOk = 200;
// What a target without a limit registers.
constexpr std::size_t kSlots = 4;
constexpr std::size_t kMostSeeds = 8;
constexpr std::size_t kFailureDomains = 26;
constexpr auto kOpenToOthers = std::filesystem::perms{0755};
constexpr const char* kLinkLoss = "kind=loss&share=0.02";

auto EndpointAt(const std::string& host, int port) -> NamedEndpoint {
  return *ParseEndpoint(host + ":" + std::to_string(port));
}

auto KeyOf(const std::string& target) -> std::string {
  return "servers/" + target;
}

// Returns the entry of a target with the next sequence number, and any other
// value as it is.
auto WithNextSequence(const std::string& value) -> std::string {
  auto json = nlohmann::json::parse(value, nullptr, false);
  const nlohmann::json::json_pointer sequence("/status/seq");
  if (!json.is_object() || !json.contains(sequence)) {
    return value;
  }
  json[sequence] = json[sequence].get<int>() + 1;
  return json.dump();
}

auto MakeFolder() -> std::string {
  auto path =
      (std::filesystem::temp_directory_path() / "flamingoyoke-XXXXXX").string();
  cr_assert(mkdtemp(path.data()) != nullptr);
  // Gateways may run as another user, who keeps the group of the test.
  std::filesystem::permissions(path, kOpenToOthers);
  return path;
}

}  // namespace

RegisteredStandin::RegisteredStandin(BlockingHttp& http,
                                     const std::string& id,
                                     std::string service,
                                     int service_ms,
                                     std::size_t slots,
                                     bool has_link_loss)
    : id_(id),
      service_(std::move(service)),
      slots_(slots),
      process_(ProgramPath("tests/standins/standin_target"),
               {"--id", id, "--service-ms", std::to_string(service_ms),
                "--slots", std::to_string(slots)}),
      port_(process_.ReadNumber("port", kStartTimeout)) {
  if (has_link_loss) {
    link_.emplace(port_).Inject(http, kLinkLoss);
  }
}

auto RegisteredStandin::SetMode(BlockingHttp& http, const std::string& mode)
    -> void {
  http.Put(port_, "/control/mode?name=" + mode);
}

auto RegisteredStandin::SetStatus(BlockingHttp& http, int status) -> void {
  http.Put(port_, "/control/status?value=" + std::to_string(status));
}

auto RegisteredStandin::Counters(BlockingHttp& http) -> nlohmann::json {
  return nlohmann::json::parse(http.Get(port_, "/control/counters").body);
}

auto RegisteredStandin::RegistrationJson(const std::string& state,
                                         int start,
                                         int sequence) const -> std::string {
  return nlohmann::json{
      {"address", "127.0.0.1:" + std::to_string(link_ ? link_->port() : port_)},
      {"born", start},
      {"info",
       {{"service", service_},
        {"version", "v1"},
        {"zone", "a"},
        {"slots", slots_ > 0 ? slots_ : kSlots}}},
      {"status", {{"state", state}, {"seq", sequence}, {"warmup_left_ms", 0}}}}
      .dump();
}

PublishedStoreFleet::PublishedStoreFleet(FleetSize size)
    : size_(std::move(size)),
      folder_(MakeFolder()),
      store_(ProgramPath("tests/standins/standin_store"), {}),
      store_port_(store_.ReadNumber("port", kStartTimeout)) {
  for (const auto& [service, count] : size_.targets) {
    for (std::size_t i = 0; i < count; ++i) {
      const auto index = targets_.size();
      targets_.push_back(std::make_unique<RegisteredStandin>(
          http_, "i-" + std::to_string(index), service, size_.service_ms,
          size_.slots,
          size_.targets_per_link_loss > 0 &&
              index % size_.targets_per_link_loss == 0));
      Register(index, "ready");
    }
  }
  for (std::size_t i = 0; size_.has_store_links && i < size_.gateways; ++i) {
    store_links_.push_back(std::make_unique<Proxy>(store_port_));
  }
  gateways_.resize(size_.gateways);
  launchers_.resize(size_.gateways);
}

PublishedStoreFleet::PublishedStoreFleet(std::size_t targets,
                                         int service_ms,
                                         std::size_t gateways)
    : PublishedStoreFleet(FleetSize{.targets = {{"orders", targets}},
                                    .service_ms = service_ms,
                                    .gateways = gateways}) {
  PublishRoutes("r4", {"/book/"});
  for (std::size_t i = 0; i < gateways; ++i) {
    StartGateway(i);
  }
}

PublishedStoreFleet::~PublishedStoreFleet() {
  gateways_.clear();
  std::filesystem::remove_all(folder_);
}

auto PublishedStoreFleet::Register(std::size_t index, const std::string& state)
    -> void {
  RegisterText(targets_[index]->id(), targets_[index]->RegistrationJson(state));
}

auto PublishedStoreFleet::RegisterText(const std::string& id,
                                       const std::string& text) -> void {
  Write(KeyOf(id), text);
}

auto PublishedStoreFleet::Unregister(std::size_t index,
                                     const std::string& options)
    -> std::chrono::steady_clock::time_point {
  Remove(KeyOf(targets_[index]->id()), options);
  return std::chrono::steady_clock::now();
}

auto PublishedStoreFleet::Heartbeat(std::size_t index) -> void {
  const auto key = KeyOf(targets_[index]->id());
  Write(key, WithNextSequence(*written_.at(key)));
}

auto PublishedStoreFleet::SendToStore(const std::string& method,
                                      const std::string& target) -> void {
  http_.Send(
      {.server = Loopback(store_port_), .method = method, .target = target});
}

auto PublishedStoreFleet::FindReaders() -> std::vector<std::size_t> {
  const auto count_bytes = [&] {
    std::vector<std::uint64_t> bytes;
    for (const auto& link : store_links_) {
      bytes.push_back(
          link->Counters(http_)["bytes_to_server"].get<std::uint64_t>());
    }
    return bytes;
  };
  const auto before = count_bytes();
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto after = count_bytes();
  std::vector<std::size_t> readers;
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (after[i] > before[i]) {
      readers.push_back(i);
    }
  }
  return readers;
}

auto PublishedStoreFleet::ReturnStore(std::chrono::milliseconds away) -> void {
  SendToStore("PUT", "/control/return?away_ms=" + std::to_string(away.count()));
}

auto PublishedStoreFleet::WriteAgain() -> void {
  const auto written = written_;
  for (const auto& [key, value] : written) {
    if (value) {
      Write(key, WithNextSequence(*value));
    } else {
      Remove(key, "");
    }
  }
}

auto PublishedStoreFleet::StoreCounters() -> nlohmann::json {
  return nlohmann::json::parse(
      http_.Get(store_port_, "/control/counters").body);
}

auto PublishedStoreFleet::Write(const std::string& key,
                                const std::string& value) -> void {
  written_[key] = value;
  http_.Put(store_port_, "/control/item?key=" + key, value);
}

auto PublishedStoreFleet::Remove(const std::string& key,
                                 const std::string& options) -> void {
  written_[key].reset();
  SendToStore("DELETE", "/control/item?key=" + key + options);
}

auto PublishedStoreFleet::EndAllWatches(const std::string& end) -> void {
  for (int i = 0; i < 15; ++i) {
    SendToStore("PUT", "/control/watches?end=" + end);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

auto PublishedStoreFleet::PublishRoutes(
    const std::string& version,
    const std::vector<std::string>& prefixes) -> void {
  nlohmann::json routes;
  // The Host header of a test request is the address it connects to, so each
  // gateway address needs its own routes.
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    const auto host = AddressOf(i);
    const auto add = [&](const std::string& prefix, const char* kind) {
      routes[host + prefix] = {{"host", host},        {"prefix", prefix},
                               {"kind", kind},        {"timeout_ms", 3000},
                               {"slo_ms", 1000},      {"priority", 1},
                               {"service", "orders"}, {"max_attempts", 2}};
    };
    for (const auto& prefix : prefixes) {
      add(prefix, "unsafe");
    }
    add("/look/", "safe");
  }
  PublishConfig(
      {{"version", version},
       {"routes", routes},
       {"services",
        {{"orders", {{"health_path", "/health"}, {"max_conns", 60}}}}},
       {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 1048576}}}});
}

auto PublishedStoreFleet::PublishConfig(const nlohmann::json& config) -> void {
  Write("op/config", config.dump());
}

auto PublishedStoreFleet::SetGatewayCommand(std::vector<std::string> command)
    -> void {
  gateway_command_ = std::move(command);
}

auto PublishedStoreFleet::SetLauncher(std::size_t index,
                                      std::vector<std::string> launcher)
    -> void {
  launchers_[index] = std::move(launcher);
}

auto PublishedStoreFleet::StartGateway(std::size_t index) -> void {
  StartGateway(
      index, "info",
      OutputFile{folder_ + "/gateway-" + std::to_string(index) + ".log"});
}

auto PublishedStoreFleet::RestartGateway(std::size_t index,
                                         const std::string& log_level,
                                         const ChildOutput& output) -> void {
  gateways_[index].reset();
  StartGateway(index, log_level, output);
}

auto PublishedStoreFleet::StartGateway(std::size_t index,
                                       const std::string& log_level,
                                       const ChildOutput& output) -> void {
  const auto host = AddressOf(index);
  const auto at = [&](int port) { return host + ":" + std::to_string(port); };
  auto seeds = nlohmann::json::array();
  for (std::size_t i = 0; i < std::min(gateways_.size(), kMostSeeds); ++i) {
    seeds.push_back(AddressOf(i) + ":" + std::to_string(ports_.control));
  }
  const auto store =
      store_links_.empty() ? store_port_ : store_links_[index]->port();
  nlohmann::json settings = {
      {"vm",
       {{"id", host},
        {"failure_domain",
         std::string(1, static_cast<char>('a' + index % kFailureDomains))},
        {"region", "r"}}},
      {"caller",
       {{"address", at(ports_.front)},
        {"address_ttl_ms", size_.address_ttl.count()}}},
      {"mesh", {{"address", at(ports_.control)}}},
      {"admin", {{"address", at(ports_.admin)}}},
      {"platform", {{"address", "127.0.0.1:" + std::to_string(store)}}},
      {"shutdown", {{"hard_limit_ms", size_.hard_limit.count()}}},
      {"log", {{"level", log_level}}},
      {"gateway",
       {{"source", "published"},
        {"readiness_address", at(ports_.ready)},
        {"directory_address", at(ports_.directory)},
        {"seeds", seeds},
        {"least_entries", 2}}}};
  settings.merge_patch(size_.settings);
  const auto path = folder_ + "/gateway-" + std::to_string(index) + ".json";
  std::ofstream(path) << settings.dump();
  auto command = launchers_[index];
  command.insert(command.end(), gateway_command_.begin(),
                 gateway_command_.end());
  command.insert(command.end(), {"--settings", path});
  // Looks the launcher up in PATH.
  const std::string program =
      launchers_[index].empty() ? command.front() : "/usr/bin/env";
  if (launchers_[index].empty()) {
    command.erase(command.begin());
  }
  gateways_[index] = std::make_unique<ChildProcess>(program, command, output);
}

auto PublishedStoreFleet::IsReady(std::size_t index) -> bool {
  const auto answer = http_.Send({.server = ReadinessOf(index),
                                  .target = "/flamingoyoke/ready",
                                  .timeout = std::chrono::seconds(1)});
  return answer.status == kOk;
}

auto PublishedStoreFleet::WaitForAll() -> void {
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    cr_assert(WaitUntil([&] { return IsReady(i); }, kFleetTimeout),
              "gateway %zu is not ready", i);
  }
}

auto PublishedStoreFleet::Call(std::size_t gateway,
                               const std::string& path,
                               const std::string& id,
                               const std::string& method) -> HttpAnswer {
  return http_.Send(
      {.server = FrontOf(gateway),
       .method = method,
       .target = path,
       .headers = {{"X-Request-Id", id}, {"X-Request-Deadline-Ms", "3000"}},
       .body = method == "POST" ? "order" : ""});
}

auto PublishedStoreFleet::CountRuns(const std::string& id) -> int {
  int runs = 0;
  for (auto& target : targets_) {
    runs += target->Counters(http_)["by_id"].value(id, 0);
  }
  return runs;
}

auto PublishedStoreFleet::AddressOf(std::size_t gateway) -> std::string {
  return "127.0.1." + std::to_string(gateway + 1);
}

auto PublishedStoreFleet::FrontOf(std::size_t gateway) const -> NamedEndpoint {
  return EndpointAt(AddressOf(gateway), ports_.front);
}

auto PublishedStoreFleet::AddressesOf(std::size_t gateway) const
    -> std::vector<NamedEndpoint> {
  std::vector<NamedEndpoint> addresses;
  for (const int port : {ports_.front, ports_.ready, ports_.control,
                         ports_.directory, ports_.admin}) {
    addresses.push_back(EndpointAt(AddressOf(gateway), port));
  }
  return addresses;
}

auto PublishedStoreFleet::DirectoryOf(std::size_t gateway) const
    -> NamedEndpoint {
  return EndpointAt(AddressOf(gateway), ports_.directory);
}

auto PublishedStoreFleet::ReadinessOf(std::size_t gateway) const
    -> NamedEndpoint {
  return EndpointAt(AddressOf(gateway), ports_.ready);
}

auto PublishedStoreFleet::AdminOf(std::size_t gateway) const -> NamedEndpoint {
  return EndpointAt(AddressOf(gateway), ports_.admin);
}

}  // namespace flamingoyoke::integration
