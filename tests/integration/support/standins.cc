#include "integration/support/standins.h"

#include <criterion/criterion.h>

namespace flamingoyoke::integration {
namespace {

constexpr int kOk = 200;

auto ReadCounters(BlockingHttp& http, int port) -> nlohmann::json {
  const auto answer = http.Get(port, "/control/counters");
  cr_assert_eq(answer.status, kOk, "no counters from port %d", port);
  return nlohmann::json::parse(answer.body);
}

}  // namespace

auto ProgramPath(const std::string& name) -> std::string {
  return std::string(FLAMINGOYOKE_BINARY_DIR) + "/" + name;
}

Platform::Platform()
    : process_(ProgramPath("tests/standins/standin_platform"), {}),
      port_(process_.ReadNumber("port", kStartTimeout)) {}

auto Platform::Publish(BlockingHttp& http,
                       const std::string& key,
                       const std::string& body) -> void {
  cr_assert_eq(http.Put(port_, "/control/config/" + key, body).status, kOk);
}

auto Platform::SetMode(BlockingHttp& http, const std::string& mode) -> void {
  cr_assert_eq(http.Put(port_, "/control/mode?name=" + mode).status, kOk);
}

auto Platform::Counters(BlockingHttp& http) -> nlohmann::json {
  return ReadCounters(http, port_);
}

Upstream::Upstream(const std::vector<std::string>& arguments)
    : process_(ProgramPath("tests/standins/standin_upstream"), arguments),
      port_(process_.ReadNumber("port", kStartTimeout)) {}

auto Upstream::SetBehaviour(BlockingHttp& http, const std::string& fields)
    -> void {
  const auto answer = http.Put(port_, "/control/behaviour", fields);
  cr_assert_eq(answer.status, kOk, "%s", answer.body.c_str());
}

auto Upstream::Counters(BlockingHttp& http) -> nlohmann::json {
  return ReadCounters(http, port_);
}

Proxy::Proxy(int server_port)
    : process_(ProgramPath("tests/standins/standin_proxy"),
               {"--server", Loopback(server_port).text}),
      port_(process_.ReadNumber("port", kStartTimeout)),
      control_port_(process_.ReadNumber("control", kStartTimeout)) {}

auto Proxy::Inject(BlockingHttp& http, const std::string& query) -> void {
  cr_assert_eq(http.Put(control_port_, "/control/fault?" + query).status, kOk);
}

auto Proxy::SetServer(BlockingHttp& http, int port) -> void {
  const auto answer =
      http.Put(control_port_, "/control/server?address=" + Loopback(port).text);
  cr_assert_eq(answer.status, kOk);
}

auto Proxy::Counters(BlockingHttp& http) -> nlohmann::json {
  return ReadCounters(http, control_port_);
}

}  // namespace flamingoyoke::integration
