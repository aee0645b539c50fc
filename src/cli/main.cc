#include "cli/run_command_line.h"

auto main(int argc, char** argv) -> int {
  return flamingoyoke::RunCommandLine(argc, argv, {});
}
