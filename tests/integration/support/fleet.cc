#include "integration/support/fleet.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "integration/support/wait_until.h"
#include "standins/common/answer_body.h"

namespace flamingoyoke::integration {
namespace {

constexpr int kOk = 200;
// Below the ephemeral port range, so that no outgoing connection takes a port
// between the check that it is free and the bind.
constexpr int kFirstPort = 10'000;
constexpr int kPortCount = 20'000;
constexpr int kPortsPerProcess = 64;
constexpr const char* kFailureDomains = "abcd";
constexpr std::size_t kFailureDomainCount = 4;
constexpr std::size_t kTargetsColumn = 2;

auto IsFree(int port) -> bool {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                            sizeof(address)) == 0;
  close(descriptor);
  return is_free;
}

auto FailureDomainOf(std::size_t index) -> std::string {
  return std::string(1, kFailureDomains[index % kFailureDomainCount]);
}

auto FormatTargets(const std::vector<int>& ports) -> std::string {
  std::string cell;
  for (std::size_t index = 0; index < ports.size(); ++index) {
    cell += (cell.empty() ? "" : ";") + Loopback(ports[index]).text + "*1@" +
            FailureDomainOf(index);
  }
  return cell;
}

auto ReplaceCell(const std::string& line,
                 std::size_t column,
                 const std::string& cell) -> std::string {
  std::istringstream cells(line);
  std::string result;
  std::string text;
  for (std::size_t index = 0; std::getline(cells, text, ','); ++index) {
    result += (index == 0 ? "" : ",") + (index == column ? cell : text);
  }
  return result;
}

}  // namespace

auto AllocatePort() -> int {
  static int offset = getpid() * kPortsPerProcess;
  while (true) {
    const int port = kFirstPort + offset++ % kPortCount;
    if (IsFree(port)) {
      return port;
    }
  }
}

Vm::Vm(std::size_t index)
    : id_("vm-" + std::to_string(index)),
      failure_domain_(FailureDomainOf(index)),
      caller_port_(AllocatePort()),
      mesh_port_(AllocatePort()),
      admin_port_(AllocatePort()),
      settings_file_(ProgramPath("integration-" + std::to_string(getpid()) +
                                 "-" + id_ + ".json")) {}

Vm::~Vm() {
  std::remove(settings_file_.c_str());
}

auto Vm::Start(int platform_port) -> void {
  process_.reset();
  const nlohmann::json settings = {
      {"vm",
       {{"id", id_}, {"failure_domain", failure_domain_}, {"region", "north"}}},
      {"caller",
       {{"address", Loopback(caller_port_).text}, {"address_ttl_ms", 500}}},
      {"mesh", {{"address", Loopback(mesh_port_).text}}},
      {"admin", {{"address", Loopback(admin_port_).text}}},
      {"platform", {{"address", Loopback(platform_port).text}}},
      {"log", {{"level", "warning"}}}};
  std::ofstream(settings_file_) << settings.dump(2);
  process_ = std::make_unique<ChildProcess>(
      ProgramPath("flamingoyoked"),
      std::vector<std::string>{"--settings", settings_file_});
}

auto Vm::Report(BlockingHttp& http) const -> nlohmann::json {
  const auto answer = http.Get(admin_port_, "/report.json");
  if (answer.status != kOk) {
    return nullptr;
  }
  return nlohmann::json::parse(answer.body);
}

auto Vm::IsReady(BlockingHttp& http) const -> bool {
  return http.Get(admin_port_, "/readyz").status == kOk;
}

auto Vm::IsLive(BlockingHttp& http) const -> bool {
  return http.Get(admin_port_, "/livez").status == kOk;
}

auto Vm::RevisionInForce(BlockingHttp& http) const -> int {
  const auto report = Report(http);
  return report.is_null() ? 0 : report["revision"].get<int>();
}

auto Vm::ListEntry() const -> nlohmann::json {
  return {{"id", id_},
          {"failure_domain", failure_domain_},
          {"region", "north"},
          {"address", Loopback(caller_port_).text},
          {"mesh_address", Loopback(mesh_port_).text},
          {"state", "live"}};
}

Fleet::Fleet(std::size_t vm_count) {
  for (std::size_t index = 0; index < vm_count; ++index) {
    vms_.push_back(std::make_unique<Vm>(index));
  }
}

auto Fleet::PublishVms(BlockingHttp& http) -> void {
  auto entries = nlohmann::json::array();
  for (const auto& vm : vms_) {
    entries.push_back(vm->ListEntry());
  }
  platform_.Publish(http, "vms", nlohmann::json({{"vms", entries}}).dump());
}

auto Fleet::StartAll() -> void {
  for (const auto& vm : vms_) {
    vm->Start(platform_.port());
  }
}

auto Fleet::WaitForRevision(BlockingHttp& http, int revision) -> bool {
  const bool is_reached = WaitUntil(
      [&] {
        for (const auto& vm : vms_) {
          if (!vm->IsReady(http) || vm->RevisionInForce(http) != revision) {
            return false;
          }
        }
        return true;
      },
      kFleetTimeout);
  for (const auto& vm : vms_) {
    if (!is_reached) {
      // Criterion shows the output with the failing test.
      std::cerr << vm->id() << ": " << vm->Report(http).dump() << "\n";
    }
  }
  return is_reached;
}

auto ExampleTable(const std::string& file, const std::vector<int>& ports)
    -> std::string {
  std::ifstream stream(std::string(FLAMINGOYOKE_SOURCE_DIR) + "/examples/" +
                       file);
  std::string table;
  std::string line;
  std::getline(stream, table);
  table += "\n";
  while (std::getline(stream, line)) {
    table += ReplaceCell(line, kTargetsColumn, FormatTargets(ports)) + "\n";
  }
  return table;
}

auto ToCall(const WorkOrder& order, int port) -> HttpCall {
  HttpCall call;
  call.server = Loopback(port);
  call.method = order.body.empty() ? "GET" : "POST";
  call.target = order.path + "?id=" + order.id +
                "&service_ms=" + std::to_string(order.service_ms) +
                "&bytes=" + std::to_string(order.answer_bytes);
  call.body = order.body;
  if (!order.key.empty()) {
    call.headers.push_back({"Flamingoyoke-Key", order.key});
  }
  return call;
}

auto ExpectedBody(const WorkOrder& order) -> std::string {
  return standin::MakeAnswerBody(order.id, order.body, order.answer_bytes);
}

auto IssueKey(BlockingHttp& http, int port, const std::string& service)
    -> std::string {
  HttpCall call;
  call.server = Loopback(port);
  call.method = "POST";
  call.target = "/.flamingoyoke/keys?service=" + service;
  const auto answer = http.Send(call);
  const auto json = nlohmann::json::parse(answer.body, nullptr, false);
  return json.is_object() ? json.value("key", "") : "";
}

auto CountExecutions(BlockingHttp& http,
                     const std::vector<std::unique_ptr<Upstream>>& upstreams,
                     const std::string& id) -> int {
  int count = 0;
  for (const auto& upstream : upstreams) {
    count += upstream->Counters(http)["by_id"].value(id, 0);
  }
  return count;
}

auto StartUpstreams(std::size_t count,
                    const std::vector<std::string>& arguments)
    -> std::vector<std::unique_ptr<Upstream>> {
  std::vector<std::unique_ptr<Upstream>> upstreams;
  for (std::size_t index = 0; index < count; ++index) {
    upstreams.push_back(std::make_unique<Upstream>(arguments));
  }
  return upstreams;
}

auto PortsOf(const std::vector<std::unique_ptr<Upstream>>& upstreams)
    -> std::vector<int> {
  std::vector<int> ports;
  ports.reserve(upstreams.size());
  for (const auto& upstream : upstreams) {
    ports.push_back(upstream->port());
  }
  return ports;
}

}  // namespace flamingoyoke::integration
