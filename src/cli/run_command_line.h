#ifndef FLAMINGOYOKE_CLI_RUN_COMMAND_LINE_H_
#define FLAMINGOYOKE_CLI_RUN_COMMAND_LINE_H_

#include "cli/configuration_command.h"

namespace flamingoyoke {

// Runs the command of the command line and returns the exit code of the
// process. `argv` has `argc` elements. `read_routing` may be empty.
auto RunCommandLine(int argc, char** argv, const RoutingReader& read_routing)
    -> int;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_RUN_COMMAND_LINE_H_
