#include "table/route_rule.h"

namespace flamingoyoke {
namespace {

constexpr std::string_view kRouteCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~/";
constexpr std::string_view kReservedPrefix = "/.flamingoyoke";

}  // namespace

auto IsValidRoute(std::string_view route) -> bool {
  if (route.empty() || route.front() != '/' || route.size() > kMaxRouteLength ||
      route.find_first_not_of(kRouteCharacters) != std::string_view::npos ||
      route.substr(0, kReservedPrefix.size()) == kReservedPrefix) {
    return false;
  }
  auto rest = route.substr(1);
  while (!rest.empty()) {
    const auto segment = rest.substr(0, rest.find('/'));
    if (segment.empty() || segment == "." || segment == "..") {
      return false;
    }
    rest.remove_prefix(segment.size());
    if (!rest.empty()) {
      rest.remove_prefix(1);
    }
  }
  return true;
}

}  // namespace flamingoyoke
