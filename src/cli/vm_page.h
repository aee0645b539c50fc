#ifndef FLAMINGOYOKE_CLI_VM_PAGE_H_
#define FLAMINGOYOKE_CLI_VM_PAGE_H_

#include <string>
#include <variant>

#include "cli/exit_code.h"
#include "core/endpoint.h"

namespace flamingoyoke {

// Fetches `target` from a vm. Returns the body of a successful answer;
// otherwise prints what to do to standard error and returns the exit code.
// `setting` names the setting whose address the vm expects, for the message.
auto FetchPage(const NamedEndpoint& server,
               const std::string& target,
               const char* setting) -> std::variant<std::string, ExitCode>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CLI_VM_PAGE_H_
