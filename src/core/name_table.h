#ifndef FLAMINGOYOKE_CORE_NAME_TABLE_H_
#define FLAMINGOYOKE_CORE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace flamingoyoke {

// An enum value and its name.
template <typename E>
struct NameEntry {
  E value;
  std::string_view name;
};

// Specialized next to every `enum class` with a `kTable` array that lists the
// enumerators in order, without gaps.
template <typename E>
struct EnumNames;

// The number of enumerators of `E`.
template <typename E>
inline constexpr std::size_t kEnumSize = EnumNames<E>::kTable.size();

// Returns whether the table lists the enumerators 0, 1, 2, ... in order.
// Intended for a static_assert next to the table.
template <typename E>
constexpr auto IsDense() -> bool {
  std::size_t index = 0;
  for (const auto& entry : EnumNames<E>::kTable) {
    if (static_cast<std::size_t>(entry.value) != index) {
      return false;
    }
    ++index;
  }
  return true;
}

// Returns the name of `value`, or "invalid" for a value outside the table.
// Thread-safe.
template <typename E>
constexpr auto ToName(E value) -> std::string_view {
  const auto index = static_cast<std::size_t>(value);
  if (index >= kEnumSize<E>) {
    return "invalid";
  }
  return EnumNames<E>::kTable[index].name;
}

// Returns the enumerator with name `name`, or nullopt if there is none.
// Thread-safe.
template <typename E>
constexpr auto FromName(std::string_view name) -> std::optional<E> {
  for (const auto& entry : EnumNames<E>::kTable) {
    if (entry.name == name) {
      return entry.value;
    }
  }
  return std::nullopt;
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_NAME_TABLE_H_
