#ifndef FLAMINGOYOKE_TABLE_ROUTE_RULE_H_
#define FLAMINGOYOKE_TABLE_ROUTE_RULE_H_

#include <cstddef>
#include <string_view>

namespace flamingoyoke {

inline constexpr std::size_t kMaxRouteLength = 256;

// Describes what IsValidRoute accepts, for fault messages.
inline constexpr const char* kRouteRule =
    "a route starts with `/`, has at most 256 letters, digits, `-`, `_`, `.`, "
    "`~` or `/`, no `//`, `.` or `..` segment, and does not start with "
    "`/.flamingoyoke`";

// Returns whether `route` is a valid path prefix. Rejects percent-encoding,
// because two encodings of the same path could match different rows.
// Thread-safe.
auto IsValidRoute(std::string_view route) -> bool;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_ROUTE_RULE_H_
