#ifndef FLAMINGOYOKE_CLI_ADDRESSES_COMMAND_H_
#define FLAMINGOYOKE_CLI_ADDRESSES_COMMAND_H_

#include "cli/command.h"
#include "cli/exit_code.h"

namespace flamingoyoke {

// Queries a VM for the addresses that callers of a service use and prints the
// JSON response.
auto Run(const AddressesCommand& command) -> ExitCode;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_ADDRESSES_COMMAND_H_
