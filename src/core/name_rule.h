#ifndef FLAMINGOYOKE_CORE_NAME_RULE_H_
#define FLAMINGOYOKE_CORE_NAME_RULE_H_

#include <cstddef>
#include <string_view>

namespace flamingoyoke {

inline constexpr std::size_t kMaxNameLength = 64;

// What IsValidName accepts, for error messages.
inline constexpr const char* kNameRule =
    "a name has 1 to 64 letters, digits, `-`, `_` or `.` and starts with a "
    "letter or digit";

// Returns whether `name` can name a service, vm, failure domain or region. The
// names appear in URLs, metric labels and log lines without quoting.
// Thread-safe.
auto IsValidName(std::string_view name) -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_NAME_RULE_H_
