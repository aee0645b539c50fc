#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>

#include "standins/common/run_task.h"
#include "standins/upstream/upstream_task.h"

namespace flamingoyoke::standin {
namespace {

auto Main(int argc, char** argv) -> int {
  CLI::App app("Stand-in for an upstream with gray failures");
  UpstreamOptions options;
  std::int64_t service_ms = 20;
  std::int64_t cold_start_ms = 0;
  app.add_option("--port", options.port, "port; 0 chooses one and prints it");
  app.add_option("--seed", options.seed, "seed of the gray failures");
  app.add_option("--slots", options.behaviour.slots,
                 "number of concurrent requests");
  app.add_option("--service-ms", service_ms, "service time in milliseconds");
  app.add_option(
      "--cold-start-ms", cold_start_ms,
      "duration of the cold start in ms, with five times the service time");
  CLI11_PARSE(app, argc, argv);
  options.behaviour.service_time = std::chrono::milliseconds(service_ms);
  options.behaviour.cold_start = std::chrono::milliseconds(cold_start_ms);
  return RunTask<UpstreamTask>(
      "upstream", [&] { return std::make_unique<UpstreamTask>(options); });
}

}  // namespace
}  // namespace flamingoyoke::standin

auto main(int argc, char** argv) -> int {
  return flamingoyoke::standin::Main(argc, argv);
}
