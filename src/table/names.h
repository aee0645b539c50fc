#ifndef FLAMINGOYOKE_TABLE_NAMES_H_
#define FLAMINGOYOKE_TABLE_NAMES_H_

#include <cstddef>
#include <string_view>

namespace flamingoyoke {

inline constexpr std::size_t kMaxNameLength = 64;
inline constexpr std::size_t kMaxRouteLength = 256;

// What IsValidName accepts, for fault messages.
inline constexpr const char* kNameRule =
    "a name has 1 to 64 letters, digits, `-`, `_` or `.` and starts with a "
    "letter or digit";

// What IsValidRoute accepts, for fault messages.
inline constexpr const char* kRouteRule =
    "a route starts with `/`, has at most 256 letters, digits, `-`, `_`, `.`, "
    "`~` or `/`, no `//`, `.` or `..` segment, and does not start with "
    "`/.flamingoyoke`";

// Returns whether `name` can name a service or failure domain. The names
// appear in URLs, metric labels and log lines without quoting. Thread-safe.
auto IsValidName(std::string_view name) -> bool;

// Returns whether `route` can be a path prefix. Escapes are refused, because
// two spellings of one path would otherwise match different rows.
// Thread-safe.
auto IsValidRoute(std::string_view route) -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_NAMES_H_
