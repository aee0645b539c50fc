#include <CLI/CLI.hpp>
#include <memory>
#include <string>

#include "standins/common/run_task.h"
#include "standins/proxy/proxy_task.h"

namespace flamingoyoke::standin {
namespace {

auto Main(int argc, char** argv) -> int {
  CLI::App app("TCP proxy that injects faults");
  ProxyOptions options;
  std::string server;
  app.add_option("--port", options.port, "port; 0 chooses one and prints it");
  app.add_option("--control-port", options.control_port,
                 "control port; 0 chooses one and prints it");
  app.add_option("--server", server, "IPv4 address and port to connect to")
      ->required();
  CLI11_PARSE(app, argc, argv);
  const auto endpoint = ParseEndpoint(server);
  if (!endpoint || endpoint->endpoint.address.is_v6()) {
    return app.exit(CLI::ValidationError("--server", "needs IPV4:PORT"));
  }
  options.server = *endpoint;
  return RunTask<ProxyTask>(
      "proxy", [&] { return std::make_unique<ProxyTask>(options); });
}

}  // namespace
}  // namespace flamingoyoke::standin

auto main(int argc, char** argv) -> int {
  return flamingoyoke::standin::Main(argc, argv);
}
