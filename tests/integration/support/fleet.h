#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_FLEET_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_FLEET_H_

#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/support/blocking_http.h"
#include "integration/support/child_process.h"
#include "integration/support/standins.h"

namespace flamingoyoke::integration {

// Timeout for the fleet to reach a state. Allows for sanitizers on a busy
// machine.
inline constexpr auto kFleetTimeout = std::chrono::seconds(60);

// Returns a free port, a different one on each call. The search starts at an
// offset derived from the process id, so that concurrent test programs rarely
// collide.
auto AllocatePort() -> int;

// One VM of a test fleet. It keeps its ports across restarts.
class Vm {
 public:
  // `index` gives the id "vm-<index>" and the failure domain.
  explicit Vm(std::size_t index);
  ~Vm();
  Vm(const Vm&) = delete;
  auto operator=(const Vm&) -> Vm& = delete;

  // Starts the daemon, which reads from the platform on `platform_port`. A
  // daemon that still runs is ended first.
  auto Start(int platform_port) -> void;

  // Returns the JSON report, or null when the VM does not answer.
  auto Report(BlockingHttp& http) const -> nlohmann::json;
  auto IsReady(BlockingHttp& http) const -> bool;
  auto IsLive(BlockingHttp& http) const -> bool;
  // Revision of the applied table; 0 if there is none.
  auto RevisionInForce(BlockingHttp& http) const -> int;

  // Entry of this VM in the platform's list.
  [[nodiscard]] auto ListEntry() const -> nlohmann::json;
  [[nodiscard]] auto process() -> ChildProcess& { return *process_; }
  [[nodiscard]] auto caller_port() const -> int { return caller_port_; }
  [[nodiscard]] auto mesh_port() const -> int { return mesh_port_; }
  [[nodiscard]] auto id() const -> const std::string& { return id_; }

 private:
  std::string id_;
  std::string failure_domain_;
  int caller_port_;
  int mesh_port_;
  int admin_port_;
  std::string settings_file_;
  std::unique_ptr<ChildProcess> process_;
};

// A platform stand-in and VMs that read from it.
class Fleet {
 public:
  explicit Fleet(std::size_t vm_count);

  // Publishes the list of all vms.
  auto PublishVms(BlockingHttp& http) -> void;
  // Starts all vms.
  auto StartAll() -> void;
  // Waits until all VMs are ready and have applied table `revision`. Returns
  // false on timeout.
  auto WaitForRevision(BlockingHttp& http, int revision) -> bool;

  [[nodiscard]] auto platform() -> Platform& { return platform_; }
  [[nodiscard]] auto vm(std::size_t index) -> Vm& { return *vms_[index]; }
  [[nodiscard]] auto size() const -> std::size_t { return vms_.size(); }

 private:
  Platform platform_;
  std::vector<std::unique_ptr<Vm>> vms_;
};

// Returns the example table `file` with every service on the targets at
// `ports`, which get the failure domains a, b, c and d in turn.
auto ExampleTable(const std::string& file, const std::vector<int>& ports)
    -> std::string;

// A request for work of the upstream stand-in.
struct WorkOrder {
  std::string path;
  std::string id;
  int service_ms = 1;
  std::size_t answer_bytes = 100;
  std::string body;
  std::string key;
};

// Returns the call that sends `order` to the VM on `port`.
auto ToCall(const WorkOrder& order, int port) -> HttpCall;

// Returns the answer body that the upstream stand-in sends for `order`.
auto ExpectedBody(const WorkOrder& order) -> std::string;

// Returns a key for `service` issued by the VM on `port`; empty on failure.
auto IssueKey(BlockingHttp& http, int port, const std::string& service)
    -> std::string;

// Returns how often `upstreams` executed request `id` in total.
auto CountExecutions(BlockingHttp& http,
                     const std::vector<std::unique_ptr<Upstream>>& upstreams,
                     const std::string& id) -> int;

// Starts `count` upstream stand-ins with `arguments`.
auto StartUpstreams(std::size_t count,
                    const std::vector<std::string>& arguments = {})
    -> std::vector<std::unique_ptr<Upstream>>;

// Ports of `upstreams`.
auto PortsOf(const std::vector<std::unique_ptr<Upstream>>& upstreams)
    -> std::vector<int>;

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_FLEET_H_
