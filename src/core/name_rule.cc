#include "core/name_rule.h"

namespace flamingoyoke {
namespace {

constexpr std::string_view kAlphanumeric =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789";
constexpr std::string_view kNameCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.";

}  // namespace

auto IsValidName(std::string_view name) -> bool {
  return !name.empty() && name.size() <= kMaxNameLength &&
         kAlphanumeric.find(name.front()) != std::string_view::npos &&
         name.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

}  // namespace flamingoyoke
