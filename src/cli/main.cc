#include <csignal>
#include <variant>

#include "cli/addresses_command.h"
#include "cli/check_commands.h"
#include "cli/command_line.h"
#include "cli/report_command.h"
#include "core/overloaded.h"

auto main(int argc, char** argv) -> int {
  using flamingoyoke::Command;
  using flamingoyoke::ExitCode;
  // The VM may close the connection at any time.
  std::signal(SIGPIPE, SIG_IGN);
  const auto parsed = flamingoyoke::ParseCommandLine(argc, argv);
  const auto code = std::visit(
      flamingoyoke::Overloaded{
          [](const Command& command) {
            return std::visit([](const auto& c) { return Run(c); }, command);
          },
          [](ExitCode exit_code) { return exit_code; }},
      parsed);
  return static_cast<int>(code);
}
