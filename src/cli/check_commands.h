#ifndef FLAMINGOYOKE_CLI_CHECK_COMMANDS_H_
#define FLAMINGOYOKE_CLI_CHECK_COMMANDS_H_

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Each checks a file as a node would. Prints what was accepted to standard
// output, and every fault to standard error.
auto Run(const CheckTableCommand& command) -> ExitCode;
auto Run(const CheckSettingsCommand& command) -> ExitCode;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_CHECK_COMMANDS_H_
