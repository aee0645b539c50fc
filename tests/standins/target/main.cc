#include <CLI/CLI.hpp>
#include <memory>

#include "standins/common/run_task.h"
#include "standins/target/target_task.h"

namespace flamingoyoke::standin {
namespace {

auto Main(int argc, char** argv) -> int {
  CLI::App app("Stand-in for a registered target of the users' platform");
  TargetOptions options;
  app.add_option("--port", options.port, "port; 0 chooses one and prints it");
  app.add_option("--id", options.id, "id of the target")->required();
  app.add_option("--service-ms", options.service_ms, "service time");
  app.add_option("--slots", options.slots,
                 "requests that run at a time; 0 sets no limit");
  CLI11_PARSE(app, argc, argv);
  return RunTask<TargetTask>(
      "target", [&] { return std::make_unique<TargetTask>(options); });
}

}  // namespace
}  // namespace flamingoyoke::standin

auto main(int argc, char** argv) -> int {
  return flamingoyoke::standin::Main(argc, argv);
}
