#ifndef FLAMINGOYOKE_NODE_TRAFFIC_HTTP_TEXT_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_HTTP_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingoyoke {

// Small parts of the HTTP grammar. All functions are thread-safe.

// Returns whether `text` is a token: a method or a header name.
auto IsToken(std::string_view text) -> bool;

// Returns whether `text` may be a header value.
auto IsHeaderValue(std::string_view text) -> bool;

// Returns `text` without spaces and tabs at both ends.
auto TrimSpace(std::string_view text) -> std::string_view;

// Returns `text` with ASCII letters in lower case.
auto ToLower(std::string_view text) -> std::string;

auto EqualsIgnoringCase(std::string_view a, std::string_view b) -> bool;

// Parses 1 to 18 decimal digits and nothing else.
auto ParseDecimal(std::string_view text) -> std::optional<std::uint64_t>;

// Parses 1 to 15 hexadecimal digits and nothing else.
auto ParseHex(std::string_view text) -> std::optional<std::uint64_t>;

// Returns whether a header describes only one connection and is not passed on.
auto IsHopByHop(std::string_view name) -> bool;

// Returns the value of parameter `name` in the query of `target`, decoded, or
// nothing when it is absent or not well-formed.
auto QueryParameter(std::string_view target, std::string_view name)
    -> std::optional<std::string>;

// Returns `target` without its query.
auto PathOf(std::string_view target) -> std::string_view;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_HTTP_TEXT_H_
