#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_STANDINS_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_STANDINS_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "integration/support/blocking_http.h"
#include "integration/support/child_process.h"

namespace flamingoyoke::integration {

// Timeout for a program to start. Allows for a busy machine.
inline constexpr auto kStartTimeout = std::chrono::seconds(60);

// Path of a program in the build folder, for example "tests/standins/load".
auto ProgramPath(const std::string& name) -> std::string;

// A running platform stand-in.
class Platform {
 public:
  Platform();

  auto Publish(BlockingHttp& http,
               const std::string& key,
               const std::string& body) -> void;
  // Switches to "normal", "down", "stale" or "slow".
  auto SetMode(BlockingHttp& http, const std::string& mode) -> void;
  auto Counters(BlockingHttp& http) -> nlohmann::json;

  [[nodiscard]] auto port() const -> int { return port_; }

 private:
  ChildProcess process_;
  int port_;
};

// A running upstream stand-in.
class Upstream {
 public:
  explicit Upstream(const std::vector<std::string>& arguments = {});

  // Changes the behaviour; `fields` is a JSON object.
  auto SetBehaviour(BlockingHttp& http, const std::string& fields) -> void;
  auto Counters(BlockingHttp& http) -> nlohmann::json;

  [[nodiscard]] auto process() -> ChildProcess& { return process_; }
  [[nodiscard]] auto port() const -> int { return port_; }

 private:
  ChildProcess process_;
  int port_;
};

// A running fault-injecting proxy.
class Proxy {
 public:
  explicit Proxy(int server_port);

  // Injects the fault that `query` describes, for example
  // "kind=cut&direction=to-client".
  auto Inject(BlockingHttp& http, const std::string& query) -> void;
  // Changes the server of new connections to the one at `port`.
  auto SetServer(BlockingHttp& http, int port) -> void;
  auto Counters(BlockingHttp& http) -> nlohmann::json;

  [[nodiscard]] auto port() const -> int { return port_; }

 private:
  ChildProcess process_;
  int port_;
  int control_port_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SUPPORT_STANDINS_H_
