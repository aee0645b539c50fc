#ifndef FLAMINGOYOKE_CLI_ADDRESSES_COMMAND_H_
#define FLAMINGOYOKE_CLI_ADDRESSES_COMMAND_H_

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Asks a vm which addresses callers of a service use and prints its JSON
// answer.
auto Run(const AddressesCommand& command) -> ExitCode;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_ADDRESSES_COMMAND_H_
