#ifndef FLAMINGOYOKE_CLI_REPORT_COMMAND_H_
#define FLAMINGOYOKE_CLI_REPORT_COMMAND_H_

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Prints the report of a VM, once or, with `watch`, every second until a
// request fails.
auto Run(const ReportCommand& command) -> ExitCode;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_REPORT_COMMAND_H_
