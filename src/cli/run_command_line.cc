#include "cli/run_command_line.h"

#include <csignal>
#include <variant>

#include "cli/addresses_command.h"
#include "cli/check_commands.h"
#include "cli/command_line.h"
#include "cli/report_command.h"
#include "core/overloaded.h"

namespace flamingoyoke {

auto RunCommandLine(int argc, char** argv, const RoutingReader& read_routing)
    -> int {
  // The VM may close the connection at any time.
  std::signal(SIGPIPE, SIG_IGN);
  const auto run = Overloaded{[&](const CheckConfigurationCommand& command) {
                                return Run(command, read_routing);
                              },
                              [](const auto& command) { return Run(command); }};
  const auto code = std::visit(
      Overloaded{
          [&](const Command& command) { return std::visit(run, command); },
          [](ExitCode exit_code) { return exit_code; }},
      ParseCommandLine(argc, argv));
  return static_cast<int>(code);
}

}  // namespace flamingoyoke
