#ifndef FLAMINGOYOKE_NODE_TRAFFIC_HTTP_TEXT_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_HTTP_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingoyoke {

// Helpers for the HTTP grammar. All functions are thread-safe.

// Returns whether `text` is a token, as methods and header names are.
auto IsToken(std::string_view text) -> bool;

// Returns whether `text` is a valid header value.
auto IsHeaderValue(std::string_view text) -> bool;

// Removes leading and trailing spaces and tabs.
auto TrimSpace(std::string_view text) -> std::string_view;

// Converts ASCII letters to lower case.
auto ToLower(std::string_view text) -> std::string;

auto EqualsIgnoringCase(std::string_view a, std::string_view b) -> bool;

// Parses 1 to 18 decimal digits; signs and spaces are errors.
auto ParseDecimal(std::string_view text) -> std::optional<std::uint64_t>;

// Parses 1 to 15 hexadecimal digits; prefixes and spaces are errors.
auto ParseHex(std::string_view text) -> std::optional<std::uint64_t>;

// Returns whether a header is hop-by-hop and must not be forwarded.
auto IsHopByHop(std::string_view name) -> bool;

// Returns the percent-decoded value of query parameter `name` of `target`;
// nullopt if it is absent or malformed.
auto QueryParameter(std::string_view target, std::string_view name)
    -> std::optional<std::string>;

// Returns the path of `target`, without the query.
auto PathOf(std::string_view target) -> std::string_view;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_HTTP_TEXT_H_
