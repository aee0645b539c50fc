#include "core/endpoint.h"

#include <charconv>

namespace flamingoyoke {
namespace {

auto ParsePort(std::string_view text) -> std::optional<std::uint16_t> {
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, port);
  const bool has_leading_zero = text.size() > 1 && text[0] == '0';
  if (parsed.ec != std::errc() || parsed.ptr != end || has_leading_zero) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

auto ParseEndpoint(std::string_view text) -> std::optional<NamedEndpoint> {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto port = ParsePort(text.substr(colon + 1));
  auto host = text.substr(0, colon);
  const bool has_brackets =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (has_brackets) {
    host = host.substr(1, host.size() - 2);
  }
  const auto address = IpAddress::Parse(host);
  if (!port || !address || address->is_v6() != has_brackets) {
    return std::nullopt;
  }
  return NamedEndpoint{Endpoint{*address, *port}, std::string(host),
                       std::string(text)};
}

}  // namespace flamingoyoke
