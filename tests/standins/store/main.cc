#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>

#include "standins/common/run_task.h"
#include "standins/store/store_task.h"

namespace flamingoyoke::standin {
namespace {

auto Main(int argc, char** argv) -> int {
  CLI::App app("Stand-in for the users' published store");
  std::uint16_t port = 0;
  app.add_option("--port", port, "port; 0 chooses one and prints it");
  CLI11_PARSE(app, argc, argv);
  return RunTask<StoreTask>("store",
                            [&] { return std::make_unique<StoreTask>(port); });
}

}  // namespace
}  // namespace flamingoyoke::standin

auto main(int argc, char** argv) -> int {
  return flamingoyoke::standin::Main(argc, argv);
}
