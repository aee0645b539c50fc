#include "cli/vm_page.h"

#include <iostream>
#include <utility>

#include "cli/http_get.h"

namespace flamingoyoke {
namespace {

constexpr int kOk = 200;

}  // namespace

auto FetchPage(const NamedEndpoint& server,
               const std::string& target,
               const char* setting) -> std::variant<std::string, ExitCode> {
  auto page = HttpGet(server, target);
  if (!page) {
    std::cerr << "flamingoyoke: no answer from " << server.text
              << " within 5 s; check that the vm runs and that this is its "
              << setting << "\n";
    return ExitCode::kNotReachable;
  }
  if (page->status != kOk) {
    std::cerr << "flamingoyoke: " << server.text << target << " answered "
              << page->status << "; check the service name and that "
              << server.text << " is the vm's " << setting << "\n"
              << page->body;
    return ExitCode::kFault;
  }
  return std::move(page->body);
}

}  // namespace flamingoyoke
