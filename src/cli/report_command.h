#ifndef FLAMINGOYOKE_CLI_REPORT_COMMAND_H_
#define FLAMINGOYOKE_CLI_REPORT_COMMAND_H_

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Prints the report of one vm, once or every second. Returns when a vm does
// not answer, or after one report without `watch`.
auto Run(const ReportCommand& command) -> ExitCode;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_REPORT_COMMAND_H_
