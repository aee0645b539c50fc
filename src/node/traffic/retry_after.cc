#include "node/traffic/retry_after.h"

#include <algorithm>
#include <ctime>
#include <string>

#include "node/traffic/http_text.h"

namespace flamingoyoke {
namespace {

constexpr std::size_t kMillisecondDigits = 3;
constexpr std::int64_t kMsPerSecond = 1000;

// Parses whole seconds and up to three decimals. Later decimals are ignored.
auto ParseSeconds(std::string_view text) -> std::optional<Duration> {
  const auto point = text.find('.');
  const auto seconds = ParseDecimal(text.substr(0, point));
  if (!seconds) {
    return std::nullopt;
  }
  const auto max_seconds = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::seconds>(kMaxRetryAfter).count());
  if (*seconds >= max_seconds) {
    return kMaxRetryAfter;
  }
  std::uint64_t ms = *seconds * kMsPerSecond;
  if (point != std::string_view::npos) {
    const auto decimals = text.substr(point + 1);
    if (!ParseDecimal(decimals)) {
      return std::nullopt;
    }
    std::string padded(decimals.substr(0, kMillisecondDigits));
    padded.resize(kMillisecondDigits, '0');
    ms += ParseDecimal(padded).value_or(0);
  }
  return std::chrono::milliseconds(ms);
}

auto ParseDate(std::string_view text, std::int64_t wall_clock_ms)
    -> std::optional<Duration> {
  std::tm date{};
  const std::string copy(text);
  const char* end = strptime(copy.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
  if (end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  const auto at_ms = static_cast<std::int64_t>(timegm(&date)) * kMsPerSecond;
  return std::min<Duration>(std::chrono::milliseconds(at_ms - wall_clock_ms),
                            kMaxRetryAfter);
}

}  // namespace

auto ParseRetryAfter(std::string_view value, std::int64_t wall_clock_ms)
    -> std::optional<Duration> {
  const auto text = TrimSpace(value);
  auto delay = ParseSeconds(text);
  if (!delay) {
    delay = ParseDate(text, wall_clock_ms);
  }
  return delay && *delay > Duration::zero() ? delay : std::nullopt;
}

auto FindRetryAfter(const HttpHeaders& headers, std::int64_t wall_clock_ms)
    -> std::optional<Duration> {
  std::optional<Duration> longest;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoringCase(name, "Retry-After")) {
      continue;
    }
    const auto delay = ParseRetryAfter(value, wall_clock_ms);
    if (delay && (!longest || *delay > *longest)) {
      longest = delay;
    }
  }
  return longest;
}

}  // namespace flamingoyoke
