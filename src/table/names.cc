#include "table/names.h"

namespace flamingoyoke {
namespace {

constexpr std::string_view kAlphanumeric =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";
constexpr std::string_view kNameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";
constexpr std::string_view kRouteCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.~/";
constexpr std::string_view kReservedPrefix = "/.flamingoyoke";

auto IsMadeOf(std::string_view text, std::string_view characters) -> bool {
  return text.find_first_not_of(characters) == std::string_view::npos;
}

}  // namespace

auto IsValidName(std::string_view name) -> bool {
  return !name.empty() && name.size() <= kMaxNameLength &&
         IsMadeOf(name.substr(0, 1), kAlphanumeric) &&
         IsMadeOf(name, kNameCharacters);
}

auto IsValidRoute(std::string_view route) -> bool {
  if (route.empty() || route.front() != '/' || route.size() > kMaxRouteLength ||
      !IsMadeOf(route, kRouteCharacters) ||
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
