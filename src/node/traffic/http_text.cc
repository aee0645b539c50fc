#include "node/traffic/http_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

namespace flamingoyoke {
namespace {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
// These limits keep numbers below 2^63, so that the sum of two does not
// overflow.
constexpr std::size_t kMaxDecimalDigits = 18;
constexpr std::size_t kMaxHexDigits = 15;
constexpr int kDecimal = 10;
constexpr int kHex = 16;
constexpr char kDelete = 0x7f;
constexpr auto kHopByHop = std::to_array<std::string_view>({
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
});

auto IsLetterOrDigit(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9');
}

auto LowerCase(char c) -> char {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

auto ParseDigits(std::string_view text, std::size_t max_digits, int base)
    -> std::optional<std::uint64_t> {
  if (text.empty() || text.size() > max_digits) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, base);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

auto DecodePercent(std::string_view text) -> std::optional<std::string> {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    if (text.size() - i < 3) {
      return std::nullopt;
    }
    const auto byte = ParseHex(text.substr(i + 1, 2));
    if (!byte) {
      return std::nullopt;
    }
    decoded += static_cast<char>(*byte);
    i += 2;
  }
  return decoded;
}

}  // namespace

auto IsToken(std::string_view text) -> bool {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsLetterOrDigit(c) ||
           kTokenPunctuation.find(c) != std::string_view::npos;
  });
}

auto IsHeaderValue(std::string_view text) -> bool {
  return std::none_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < ' ' && c != '\t') || c == kDelete;
  });
}

auto TrimSpace(std::string_view text) -> std::string_view {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

auto ToLower(std::string_view text) -> std::string {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(), LowerCase);
  return lower;
}

auto EqualsIgnoringCase(std::string_view a, std::string_view b) -> bool {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return LowerCase(x) == LowerCase(y);
  });
}

auto ParseDecimal(std::string_view text) -> std::optional<std::uint64_t> {
  return ParseDigits(text, kMaxDecimalDigits, kDecimal);
}

auto ParseHex(std::string_view text) -> std::optional<std::uint64_t> {
  return ParseDigits(text, kMaxHexDigits, kHex);
}

auto IsHopByHop(std::string_view name) -> bool {
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](auto known) {
    return EqualsIgnoringCase(known, name);
  });
}

auto PathOf(std::string_view target) -> std::string_view {
  return target.substr(0, target.find('?'));
}

auto QueryParameter(std::string_view target, std::string_view name)
    -> std::optional<std::string> {
  const auto mark = target.find('?');
  auto rest = mark == std::string_view::npos ? std::string_view()
                                             : target.substr(mark + 1);
  while (!rest.empty()) {
    const auto pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return DecodePercent(pair.substr(equals + 1));
    }
  }
  return std::nullopt;
}

}  // namespace flamingoyoke
