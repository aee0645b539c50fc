#include "decision/idempotency/idempotency_key.h"

#include <charconv>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace flamingoyoke {
namespace {

// No valid key is longer; bounds the cost of parsing a malicious header.
constexpr std::size_t kMaxKeyLength = 256;
constexpr std::size_t kRandomDigits = 16;
constexpr int kDecimal = 10;
constexpr int kHex = 16;
constexpr std::string_view kHexDigits = "0123456789abcdef";

// Removes the last field and its '-' from `text` and returns the field.
auto SplitLastField(std::string_view& text) -> std::optional<std::string_view> {
  const auto dash = text.rfind('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto field = text.substr(dash + 1);
  text = text.substr(0, dash);
  return field;
}

template <typename Number>
auto ParseNumber(std::string_view text, int base) -> std::optional<Number> {
  Number number{};
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

auto ToHex(std::uint64_t number) -> std::string {
  std::string text(kRandomDigits, '0');
  for (std::size_t i = 1; i <= kRandomDigits; ++i) {
    text[kRandomDigits - i] = kHexDigits[number % kHex];
    number /= kHex;
  }
  return text;
}

}  // namespace

auto FormatIdempotencyKey(const IdempotencyKey& key) -> std::string {
  return key.vm.value() + "-" + std::to_string(key.incarnation.value()) + "-" +
         std::to_string(key.issued_ms) + "-" + ToHex(key.random);
}

auto ParseIdempotencyKey(std::string_view text) -> Result<IdempotencyKey> {
  if (text.size() > kMaxKeyLength) {
    return Fail(ErrorKind::kKeyMalformed, "idempotency key is longer than " +
                                              std::to_string(kMaxKeyLength) +
                                              " bytes");
  }
  auto rest = text;
  const auto random = SplitLastField(rest);
  const auto issued = SplitLastField(rest);
  const auto incarnation = SplitLastField(rest);
  if (!incarnation || rest.empty()) {
    return Fail(ErrorKind::kKeyMalformed,
                "idempotency key has fewer than 4 fields");
  }
  const auto random_number = ParseNumber<std::uint64_t>(*random, kHex);
  const auto issued_number = ParseNumber<std::int64_t>(*issued, kDecimal);
  const auto incarnation_number =
      ParseNumber<std::uint64_t>(*incarnation, kDecimal);
  if (!random_number || !issued_number || !incarnation_number ||
      *issued_number < 0) {
    return Fail(ErrorKind::kKeyMalformed,
                "idempotency key has a field that is not a valid number");
  }
  IdempotencyKey key{
      .vm = VmId(std::string(rest)),
      .incarnation = Incarnation(*incarnation_number),
      .issued_ms = *issued_number,
      .random = *random_number,
  };
  if (FormatIdempotencyKey(key) != text) {
    return Fail(ErrorKind::kKeyMalformed,
                "idempotency key is not in canonical form");
  }
  return key;
}

}  // namespace flamingoyoke
