#ifndef FLAMINGOYOKE_CLI_CONFIGURATION_COMMAND_H_
#define FLAMINGOYOKE_CLI_CONFIGURATION_COMMAND_H_

#include <functional>
#include <string_view>

#include "cli/command.h"
#include "cli/exit_code.h"
#include "core/result.h"
#include "table/routing.h"

namespace flamingoyoke {

// Reads a configuration in the form in which it is published. An adapter
// provides it.
using RoutingReader = std::function<Result<Routing>(std::string_view)>;

// Checks a configuration before it is published and, with `against`, prints
// what differs from the version in force. A file that starts with a brace is a
// published configuration, any other a table. Without `read_routing`, only
// tables are accepted. Prints the result to standard output, and what cannot be
// read to standard error.
auto Run(const CheckConfigurationCommand& command,
         const RoutingReader& read_routing) -> ExitCode;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_CONFIGURATION_COMMAND_H_
