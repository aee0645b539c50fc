#include "node/traffic/trace_context.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace flamingoyoke {
namespace {

// Layout of version 00: 2 + 32 + 16 + 2 digits, separated by three dashes.
constexpr std::size_t kLength = 55;
constexpr std::size_t kTraceStart = 3;
constexpr std::size_t kTraceDigits = 32;
constexpr std::size_t kSpanStart = 36;
constexpr std::size_t kSpanDigits = 16;
constexpr std::size_t kFlagsStart = 53;
constexpr std::string_view kHexDigits = "0123456789abcdef";

auto IsId(std::string_view text) -> bool {
  return text.find_first_not_of(kHexDigits) == std::string_view::npos &&
         text.find_first_not_of('0') != std::string_view::npos;
}

auto RandomHex(Random& random, std::size_t digits) -> std::string {
  std::string text;
  while (text.size() < digits) {
    auto bits = random.Next();
    for (std::size_t i = 0; i < kSpanDigits; ++i) {
      text += kHexDigits[bits % kHexDigits.size()];
      bits /= kHexDigits.size();
    }
  }
  return text;
}

}  // namespace

auto ParseTraceparent(std::string_view text) -> std::optional<TraceContext> {
  if (text.size() != kLength || text.substr(0, kTraceStart) != "00-" ||
      text[kSpanStart - 1] != '-' || text[kFlagsStart - 1] != '-') {
    return std::nullopt;
  }
  const auto trace = text.substr(kTraceStart, kTraceDigits);
  const auto span = text.substr(kSpanStart, kSpanDigits);
  const auto flags = text.substr(kFlagsStart);
  if (!IsId(trace) || !IsId(span) ||
      flags.find_first_not_of(kHexDigits) != std::string_view::npos) {
    return std::nullopt;
  }
  const bool sampled = kHexDigits.find(flags[1]) % 2 == 1;
  return TraceContext{std::string(trace), std::string(span), "", sampled};
}

auto FormatTraceparent(const TraceContext& context) -> std::string {
  return "00-" + context.trace_id + "-" + context.span_id +
         (context.sampled ? "-01" : "-00");
}

auto StartTrace(Random& random, bool sampled) -> TraceContext {
  return {RandomHex(random, kTraceDigits), RandomHex(random, kSpanDigits), "",
          sampled};
}

auto StartSpan(const TraceContext& parent, Random& random) -> TraceContext {
  return {parent.trace_id, RandomHex(random, kSpanDigits), parent.span_id,
          parent.sampled};
}

}  // namespace flamingoyoke
