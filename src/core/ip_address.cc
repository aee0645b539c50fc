#include "core/ip_address.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace flamingoyoke {
namespace {

constexpr std::size_t kMaxGroups = 8;
constexpr std::size_t kHexDigits = 4;
constexpr std::size_t kDecimalDigits = 3;
constexpr std::uint16_t kMaxByte = 255;

using Groups = std::vector<std::uint16_t>;

// Parses all of `text` as a number of at most `max_digits` digits.
auto ParseNumber(std::string_view text, int base, std::size_t max_digits)
    -> std::optional<std::uint16_t> {
  if (text.empty() || text.size() > max_digits) {
    return std::nullopt;
  }
  std::uint16_t value = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value, base);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

// Parses "a:b:c" into groups; empty text has none.
auto ParseGroups(std::string_view text) -> std::optional<Groups> {
  Groups groups;
  if (text.empty()) {
    return groups;
  }
  while (groups.size() < kMaxGroups) {
    const auto colon = text.find(':');
    const auto group = ParseNumber(text.substr(0, colon), 16, kHexDigits);
    if (!group) {
      return std::nullopt;
    }
    groups.push_back(*group);
    if (colon == std::string_view::npos) {
      return groups;
    }
    text.remove_prefix(colon + 1);
  }
  return std::nullopt;
}

}  // namespace

auto IpAddress::Parse(std::string_view text) -> std::optional<IpAddress> {
  return text.find(':') == std::string_view::npos ? ParseV4(text)
                                                  : ParseV6(text);
}

auto IpAddress::ParseV4(std::string_view text) -> std::optional<IpAddress> {
  IpAddress address;
  for (std::size_t index = 0; index < kV4Bytes; ++index) {
    const auto dot = text.find('.');
    const bool is_last = index + 1 == kV4Bytes;
    if (is_last != (dot == std::string_view::npos)) {
      return std::nullopt;
    }
    const auto digits = text.substr(0, dot);
    const auto byte = ParseNumber(digits, 10, kDecimalDigits);
    const bool has_leading_zero = digits.size() > 1 && digits[0] == '0';
    if (!byte || *byte > kMaxByte || has_leading_zero) {
      return std::nullopt;
    }
    auto& group = address.groups_.at(index / 2);
    group = static_cast<std::uint16_t>((group << 8U) | *byte);
    if (!is_last) {
      text.remove_prefix(dot + 1);
    }
  }
  return address;
}

auto IpAddress::ParseV6(std::string_view text) -> std::optional<IpAddress> {
  const auto gap = text.find("::");
  const bool has_gap = gap != std::string_view::npos;
  const auto head = ParseGroups(text.substr(0, gap));
  const auto tail = ParseGroups(has_gap ? text.substr(gap + 2) : "");
  if (!head || !tail) {
    return std::nullopt;
  }
  const auto count = head->size() + tail->size();
  if (has_gap ? count >= kGroups : count != kGroups) {
    return std::nullopt;
  }
  IpAddress address;
  address.is_v6_ = true;
  std::copy(head->begin(), head->end(), address.groups_.begin());
  std::copy(tail->begin(), tail->end(),
            address.groups_.end() - static_cast<std::ptrdiff_t>(tail->size()));
  return address;
}

}  // namespace flamingoyoke
