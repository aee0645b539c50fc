#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_PUBLISHED_FLEET_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_PUBLISHED_FLEET_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "integration/support/blocking_http.h"
#include "integration/support/child_process.h"
#include "integration/support/fleet.h"
#include "integration/support/standins.h"

namespace flamingoyoke::integration {

// Ports that all VMs of a platform share.
struct PlatformPorts {
  int front = AllocatePort();
  int ready = AllocatePort();
  int control = AllocatePort();
  int directory = AllocatePort();
  int admin = AllocatePort();
};

// A registered target.
class RegisteredStandin {
 public:
  // Runs up to `slots` requests at a time; 0 sets no limit. With
  // `has_link_loss` it is registered at a proxy that loses some bytes.
  RegisteredStandin(BlockingHttp& http,
                    const std::string& id,
                    std::string service,
                    int service_ms,
                    std::size_t slots,
                    bool has_link_loss = false);

  // Switches to a mode of the stand-in, for example "error".
  auto SetMode(BlockingHttp& http, const std::string& mode) -> void;
  // Answers requests that it ran with `status` from now on.
  auto SetStatus(BlockingHttp& http, int status) -> void;
  auto Counters(BlockingHttp& http) -> nlohmann::json;
  // Returns the entry of the target in the store. The target starts anew with
  // each `start`.
  [[nodiscard]] auto RegistrationJson(const std::string& state,
                                      int start = 1000,
                                      int sequence = 1) const -> std::string;
  [[nodiscard]] auto id() const -> const std::string& { return id_; }
  [[nodiscard]] auto port() const -> int { return port_; }

 private:
  std::string id_;
  std::string service_;
  std::size_t slots_;
  ChildProcess process_;
  int port_;
  std::optional<Proxy> link_;
};

// Size of a fleet and what its settings need.
struct FleetSize {
  // Number of targets of each service.
  std::map<std::string, std::size_t> targets;
  int service_ms = 20;
  // Requests that a target runs at a time; 0 sets no limit.
  std::size_t slots = 0;
  // One of so many targets has a link that loses bytes; 0 for none.
  std::size_t targets_per_link_loss = 0;
  std::size_t gateways = 3;
  // Whether each gateway reads the store over a link of its own.
  bool has_store_links = false;
  std::chrono::milliseconds hard_limit = std::chrono::seconds(8);
  std::chrono::milliseconds address_ttl = std::chrono::milliseconds(500);
  // Merged into the settings of each gateway.
  nlohmann::json settings = nlohmann::json::object();
};

// A published store, its registered targets and the gateways that read from it,
// started as on the users' platform. Not thread-safe.
class PublishedStoreFleet {
 public:
  static constexpr std::size_t kDefaultGateways = 3;

  // Starts the targets and no gateway, and publishes no configuration.
  explicit PublishedStoreFleet(FleetSize size);
  // Starts targets of the service "orders" and all gateways.
  explicit PublishedStoreFleet(std::size_t targets,
                               int service_ms = 20,
                               std::size_t gateways = kDefaultGateways);
  PublishedStoreFleet(const PublishedStoreFleet&) = delete;
  auto operator=(const PublishedStoreFleet&) -> PublishedStoreFleet& = delete;
  // Removes the logs, which stay if the test is aborted.
  ~PublishedStoreFleet();

  auto Register(std::size_t index, const std::string& state) -> void;

  // Publishes what another program wrote among the targets' entries.
  auto RegisterText(const std::string& id, const std::string& text) -> void;

  // Removes the entry of a target and returns when the store acknowledged it.
  auto Unregister(std::size_t index, const std::string& options = "")
      -> std::chrono::steady_clock::time_point;

  // Writes the entry of a target again with the next sequence number.
  // Precondition: the target is registered.
  auto Heartbeat(std::size_t index) -> void;

  auto SendToStore(const std::string& method, const std::string& target)
      -> void;

  // Returns the gateways that read the store within a second from now on.
  // Precondition: the gateways have store links.
  auto FindReaders() -> std::vector<std::size_t>;
  // The link over which a gateway reads the store. Precondition: the gateways
  // have store links.
  [[nodiscard]] auto store_link(std::size_t gateway) -> Proxy& {
    return *store_links_[gateway];
  }

  // Lets the store return from the copy that it took last; it closes all
  // connections until it was away for `away`.
  auto ReturnStore(std::chrono::milliseconds away) -> void;

  // Writes and removes again what the operator and the targets wrote and
  // removed, as they do when the store has lost it. Entries of targets get the
  // next sequence number.
  auto WriteAgain() -> void;

  auto StoreCounters() -> nlohmann::json;

  // Ends every watch that waits at some moment of a short time as `end`, so
  // that no reader is left between two watches.
  auto EndAllWatches(const std::string& end) -> void;

  // Publishes a configuration with a route for non-repeatable requests for each
  // prefix, and one for safe requests with the prefix "/look/".
  auto PublishRoutes(const std::string& version,
                     const std::vector<std::string>& prefixes) -> void;

  // Starts gateways with `command` from now on, which ends with the program.
  // Its first word is a path.
  auto SetGatewayCommand(std::vector<std::string> command) -> void;

  // Publishes a whole configuration.
  auto PublishConfig(const nlohmann::json& config) -> void;

  // Sets the program and arguments through which a gateway is started from now
  // on, for example {"prlimit", "--nofile=256"}. They are looked up in PATH and
  // must replace themselves by the gateway.
  auto SetLauncher(std::size_t index, std::vector<std::string> launcher)
      -> void;

  // Starts a gateway that writes its log of level "info" to a file.
  auto StartGateway(std::size_t index) -> void;
  // Ends a gateway and starts it again with a log of level `log_level`, which
  // goes to `output`.
  auto RestartGateway(std::size_t index,
                      const std::string& log_level,
                      const ChildOutput& output) -> void;
  auto IsReady(std::size_t index) -> bool;
  // Aborts the test unless all gateways become ready.
  auto WaitForAll() -> void;

  auto Call(std::size_t gateway,
            const std::string& path,
            const std::string& id,
            const std::string& method = "POST") -> HttpAnswer;

  // Returns how often all targets together ran request `id`.
  auto CountRuns(const std::string& id) -> int;

  // Address of a gateway, without a port.
  [[nodiscard]] static auto AddressOf(std::size_t gateway) -> std::string;
  // Where callers connect to a gateway.
  [[nodiscard]] auto FrontOf(std::size_t gateway) const -> NamedEndpoint;
  [[nodiscard]] auto DirectoryOf(std::size_t gateway) const -> NamedEndpoint;
  // Where readiness is asked.
  [[nodiscard]] auto ReadinessOf(std::size_t gateway) const -> NamedEndpoint;
  // Where operators connect.
  [[nodiscard]] auto AdminOf(std::size_t gateway) const -> NamedEndpoint;

  // All addresses that a gateway listens on.
  [[nodiscard]] auto AddressesOf(std::size_t gateway) const
      -> std::vector<NamedEndpoint>;

  // Folder with the settings and logs of the gateways.
  [[nodiscard]] auto folder() const -> const std::string& { return folder_; }
  [[nodiscard]] auto http() -> BlockingHttp& { return http_; }
  [[nodiscard]] auto target(std::size_t index) -> RegisteredStandin& {
    return *targets_[index];
  }
  [[nodiscard]] auto gateway(std::size_t index) -> ChildProcess& {
    return *gateways_[index];
  }
  [[nodiscard]] auto gateways() const -> std::size_t {
    return gateways_.size();
  }
  [[nodiscard]] auto targets() const -> std::size_t { return targets_.size(); }

 private:
  auto StartGateway(std::size_t index,
                    const std::string& log_level,
                    const ChildOutput& output) -> void;
  auto Write(const std::string& key, const std::string& value) -> void;
  auto Remove(const std::string& key, const std::string& options) -> void;

  const FleetSize size_;
  std::vector<std::string> gateway_command_ = {
      ProgramPath("flamingoyoked-platform")};
  std::string folder_;
  BlockingHttp http_;
  PlatformPorts ports_;
  ChildProcess store_;
  int store_port_;
  // One for each gateway, or none.
  std::vector<std::unique_ptr<Proxy>> store_links_;
  // What was written last under each key; unset if it was removed.
  std::map<std::string, std::optional<std::string>> written_;
  std::vector<std::unique_ptr<RegisteredStandin>> targets_;
  std::vector<std::unique_ptr<ChildProcess>> gateways_;
  // How each gateway is started.
  std::vector<std::vector<std::string>> launchers_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_PUBLISHED_FLEET_H_
