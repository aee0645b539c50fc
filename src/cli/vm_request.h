#ifndef FLAMINGOYOKE_CLI_VM_REQUEST_H_
#define FLAMINGOYOKE_CLI_VM_REQUEST_H_

#include <string>
#include <variant>

#include "cli/exit_code.h"
#include "core/endpoint.h"

namespace flamingoyoke {

// Fetches `target` from a VM. Returns the body of a successful response.
// Otherwise prints an error with advice to standard error and returns an exit
// code. `setting` is the setting that holds the address of the server, for the
// error message.
auto FetchFromVm(const NamedEndpoint& server,
                 const std::string& target,
                 const char* setting) -> std::variant<std::string, ExitCode>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_VM_REQUEST_H_
