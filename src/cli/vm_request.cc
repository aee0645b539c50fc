#include "cli/vm_request.h"

#include <iostream>
#include <utility>

#include "cli/http_get.h"

namespace flamingoyoke {
namespace {

constexpr int kHttpOk = 200;

}  // namespace

auto FetchFromVm(const NamedEndpoint& server,
                 const std::string& target,
                 const char* setting) -> std::variant<std::string, ExitCode> {
  auto response = HttpGet(server, target);
  if (!response) {
    std::cerr << "flamingoyoke: no response from " << server.text
              << " within 5 s; check that the VM runs and that this is its "
              << setting << "\n";
    return ExitCode::kNotReachable;
  }
  if (response->status != kHttpOk) {
    std::cerr << "flamingoyoke: " << server.text << target
              << " returned status " << response->status
              << "; check the service name and that " << server.text
              << " is the VM's " << setting << "\n"
              << response->body;
    return ExitCode::kFault;
  }
  return std::move(response->body);
}

}  // namespace flamingoyoke
