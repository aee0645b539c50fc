#include "cli/addresses_command.h"

#include <iostream>
#include <string>
#include <variant>

#include "cli/vm_request.h"

namespace flamingoyoke {

auto Run(const AddressesCommand& command) -> ExitCode {
  // Names consist of characters that need no escaping in a query.
  auto target = "/.flamingoyoke/addresses?service=" + command.service;
  if (!command.failure_domain.empty()) {
    target += "&failure_domain=" + command.failure_domain;
  }
  const auto response = FetchFromVm(command.address, target, "caller.address");
  if (const auto* code = std::get_if<ExitCode>(&response)) {
    return *code;
  }
  std::cout << std::get<std::string>(response) << "\n";
  return ExitCode::kOk;
}

}  // namespace flamingoyoke
