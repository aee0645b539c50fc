#ifndef FLAMINGOYOKE_CORE_IP_ADDRESS_H_
#define FLAMINGOYOKE_CORE_IP_ADDRESS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace flamingoyoke {

// A numeric IPv4 or IPv6 address. The standard library has no parser, and the
// layers without I/O may not include the socket headers.
class IpAddress {
 public:
  // Parses dotted IPv4 ("10.0.0.1", no leading zeros) or IPv6 ("::1", without
  // brackets, zone or embedded IPv4). Returns nullopt for any other text,
  // including host names. Thread-safe.
  static auto Parse(std::string_view text) -> std::optional<IpAddress>;

  [[nodiscard]] auto is_v6() const -> bool { return is_v6_; }

  // clang-tidy 14 takes the defaulted operator for a null pointer.
  auto operator<=>(const IpAddress&) const = default;  // NOLINT

 private:
  static constexpr std::size_t kV4Bytes = 4;
  static constexpr std::size_t kGroups = 8;

  static auto ParseV4(std::string_view text) -> std::optional<IpAddress>;
  static auto ParseV6(std::string_view text) -> std::optional<IpAddress>;

  // IPv4 uses only the first two groups.
  std::array<std::uint16_t, kGroups> groups_{};
  bool is_v6_ = false;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_IP_ADDRESS_H_
