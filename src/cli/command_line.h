#ifndef FLAMINGOYOKE_CLI_COMMAND_LINE_H_
#define FLAMINGOYOKE_CLI_COMMAND_LINE_H_

#include <variant>

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Parses the command line. Returns the command, or the exit code after help,
// the version or an error was printed. `argv` has `argc` elements.
auto ParseCommandLine(int argc, char** argv) -> std::variant<Command, ExitCode>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_COMMAND_LINE_H_
