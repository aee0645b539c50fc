#ifndef FLAMINGOYOKE_NODE_TRAFFIC_RETRY_AFTER_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_RETRY_AFTER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/time.h"
#include "node/traffic/http_message.h"

namespace flamingoyoke {

// Longer delays count as this one, so that a faulty value does not take a
// target out of service for good.
inline constexpr Duration kMaxRetryAfter = std::chrono::minutes(5);

// Parses a Retry-After value: seconds with an optional fraction, or an HTTP
// date, which is compared with `wall_clock_ms`. Returns nullopt for values that
// are malformed, negative or in the past. Thread-safe.
auto ParseRetryAfter(std::string_view value, std::int64_t wall_clock_ms)
    -> std::optional<Duration>;

// Returns the longest valid delay of all Retry-After headers. Thread-safe.
auto FindRetryAfter(const HttpHeaders& headers, std::int64_t wall_clock_ms)
    -> std::optional<Duration>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_RETRY_AFTER_H_
