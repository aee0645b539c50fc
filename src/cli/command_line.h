#ifndef FLAMINGOYOKE_CLI_COMMAND_LINE_H_
#define FLAMINGOYOKE_CLI_COMMAND_LINE_H_

#include <variant>

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Parses the command line. Returns the command, or an exit code if it printed
// the help, the version or an error. `argv` has `argc` elements.
auto ParseCommandLine(int argc, char** argv) -> std::variant<Command, ExitCode>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_COMMAND_LINE_H_
