#ifndef FLAMINGOYOKE_WIRE_BOUNDED_JSON_H_
#define FLAMINGOYOKE_WIRE_BOUNDED_JSON_H_

#include <cstdint>
#include <exception>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "core/time.h"

namespace flamingoyoke {

// Reads JSON documents that other programs wrote. nlohmann-json itself parses
// documents of any depth, which take about 70 bytes of memory per bracket, and
// converts numbers without checking their range. All functions are thread-safe.

// Maximum nesting depth of a document.
inline constexpr int kMaxJsonDepth = 32;
// Maximum length of a name in a document, in bytes.
inline constexpr std::size_t kMaxJsonNameBytes = 256;
// Longest duration that is accepted.
inline constexpr Duration kMaxJsonDuration = std::chrono::hours(24);

// Parses `text`. Throws nlohmann::json::exception for malformed JSON and
// std::length_error if it is nested deeper than kMaxJsonDepth.
auto ParseBoundedJson(std::string_view text) -> nlohmann::json;

// Returns a whole number between `min` and `max`. Throws std::out_of_range with
// `name` for any other value.
auto ReadWholeNumber(const nlohmann::json& value,
                     std::string_view name,
                     std::uint64_t min,
                     std::uint64_t max) -> std::uint64_t;

// Returns a number of milliseconds, which may have a fraction, as a duration.
// Throws std::out_of_range with `name` if the value is not a number between 0
// and kMaxJsonDuration.
auto ReadMilliseconds(const nlohmann::json& value, std::string_view name)
    -> Duration;

// Returns a string of at most kMaxJsonNameBytes. Throws
// nlohmann::json::exception for other types and std::length_error for longer
// strings.
auto ReadName(const nlohmann::json& value) -> std::string;

// Returns the message of `error`, shortened: the JSON library quotes the whole
// token at which parsing failed.
auto DescribeJsonError(const std::exception& error) -> std::string;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_WIRE_BOUNDED_JSON_H_
