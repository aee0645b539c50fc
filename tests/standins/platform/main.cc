#include <CLI/CLI.hpp>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/run_task.h"
#include "standins/platform/platform_task.h"

namespace flamingoyoke::standin {
namespace {

auto Main(int argc, char** argv) -> int {
  CLI::App app("Stand-in for the platform: configuration service and VM list");
  PlatformOptions options;
  std::vector<std::string> values;
  app.add_option("--port", options.port, "port; 0 chooses one and prints it");
  app.add_option("--value", values, "KEY=FILE to publish at start");
  CLI11_PARSE(app, argc, argv);
  for (const auto& value : values) {
    const auto equals = value.find('=');
    if (equals == std::string::npos) {
      return app.exit(CLI::ValidationError("--value", "needs KEY=FILE"));
    }
    options.values.push_back(
        {value.substr(0, equals), value.substr(equals + 1)});
  }
  return RunTask<PlatformTask>(
      "platform", [&] { return std::make_unique<PlatformTask>(options); });
}

}  // namespace
}  // namespace flamingoyoke::standin

auto main(int argc, char** argv) -> int {
  return flamingoyoke::standin::Main(argc, argv);
}
