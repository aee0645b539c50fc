#ifndef FLAMINGOYOKE_CLI_CHECK_COMMANDS_H_
#define FLAMINGOYOKE_CLI_CHECK_COMMANDS_H_

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Validates a file with the same code as a node. Prints a summary of a valid
// file to standard output, and all faults of an invalid one to standard error.
auto Run(const CheckTableCommand& command) -> ExitCode;
auto Run(const CheckSettingsCommand& command) -> ExitCode;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_CHECK_COMMANDS_H_
