#ifndef FLAMINGOYOKE_CORE_NAME_RULE_H_
#define FLAMINGOYOKE_CORE_NAME_RULE_H_

#include <cstddef>
#include <string_view>

namespace flamingoyoke {

inline constexpr std::size_t kMaxNameLength = 64;

// The rule that IsValidName checks, for error messages.
inline constexpr const char* kNameRule =
    "a name has 1 to 64 letters, digits, `-`, `_` or `.` and starts with a "
    "letter or digit";

// Returns whether `name` is valid for a service, VM, failure domain or region.
// Names appear in URLs, metric labels and log lines without quoting.
// Thread-safe.
auto IsValidName(std::string_view name) -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_NAME_RULE_H_
