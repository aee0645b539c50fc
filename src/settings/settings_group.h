#ifndef FLAMINGOYOKE_SETTINGS_SETTINGS_GROUP_H_
#define FLAMINGOYOKE_SETTINGS_SETTINGS_GROUP_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/endpoint.h"
#include "core/name_table.h"
#include "core/time.h"

namespace flamingoyoke {

// Inclusive range of accepted integers, with their unit.
struct IntegerFieldRange {
  std::uint64_t min;
  std::uint64_t max;
  std::string_view unit;
};

// Inclusive range of accepted numbers, with their unit.
struct NumberFieldRange {
  double min;
  double max;
  std::string_view unit;
};

// Reads the fields of a settings group and adds invalid ones to a list of
// faults. Fields that were never read count as unknown. Stores references to
// the constructor arguments, which must outlive it. Not thread-safe.
class SettingsGroup {
 public:
  using Faults = std::vector<std::string>;

  // Selects the group `name` of `document`. A missing group has no fields.
  SettingsGroup(const nlohmann::json& document,
                std::string name,
                Faults& faults);

  // These functions return the value of `field` and add a fault if it is
  // invalid. If it is missing or invalid, they return the fallback or, without
  // one, an empty value. Name and Address also add a fault if it is missing.
  auto Name(const char* field) -> std::string;
  auto Address(const char* field) -> NamedEndpoint;
  auto Integer(const char* field,
               IntegerFieldRange range,
               std::uint64_t fallback) -> std::uint64_t;
  auto Number(const char* field, NumberFieldRange range, double fallback)
      -> double;
  // Rounds a number with a fraction down, for values that another program
  // computed.
  auto WholePart(const char* field,
                 IntegerFieldRange range,
                 std::uint64_t fallback) -> std::uint64_t;
  auto Milliseconds(const char* field,
                    IntegerFieldRange range,
                    Duration fallback) -> Duration;
  // Reads a number of seconds, which may have a fraction.
  auto Seconds(const char* field, NumberFieldRange range, Duration fallback)
      -> Duration;
  auto Share(const char* field, double fallback) -> double;
  auto Names(const char* field, std::vector<std::string> fallback)
      -> std::vector<std::string>;
  // Returns a list of addresses, which may be empty.
  auto Addresses(const char* field) -> std::vector<NamedEndpoint>;
  // Returns text of at most `max_length` bytes without control characters.
  auto Text(const char* field, std::size_t max_length) -> std::string;
  // Returns a CURVE key. Faults never contain its value.
  auto CurveKey(const char* field) -> std::optional<std::string>;

  // Returns the enumerator whose name is the value of `field`.
  template <typename E>
  auto Enum(const char* field, E fallback) -> E {
    const auto* value = Find(field);
    if (value == nullptr) {
      return fallback;
    }
    const auto choice = value->is_string()
                            ? FromName<E>(value->get<std::string>())
                            : std::optional<E>();
    if (!choice) {
      AddFault(field, value, "must be one of " + NamesOf<E>());
    }
    return choice.value_or(fallback);
  }

  // Adds a fault for every field that was never read.
  auto AddUnknownFieldFaults() -> void;

  // Adds a fault for `field` with its `value`; null means that it is missing.
  auto AddFault(const std::string& field,
                const nlohmann::json* value,
                const std::string& requirement) -> void;

 private:
  template <typename E>
  static auto NamesOf() -> std::string {
    std::string names;
    for (const auto& entry : EnumNames<E>::kTable) {
      names += names.empty() ? "" : ", ";
      names += entry.name;
    }
    return names;
  }

  // Returns the value of `field`, or null if it is missing. Marks the field as
  // known.
  auto Find(const char* field) -> const nlohmann::json*;

  std::string name_;
  const nlohmann::json* fields_ = nullptr;
  std::set<std::string> requested_fields_;
  Faults& faults_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_SETTINGS_SETTINGS_GROUP_H_
