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

// Accepted whole numbers, both ends included, with their unit.
struct CountField {
  std::uint64_t least;
  std::uint64_t most;
  std::string_view unit;
};

// Accepted numbers, both ends included, with their unit.
struct NumberField {
  double least;
  double most;
  std::string_view unit;
};

// Reads the fields of one group of the settings and lists what is wrong with
// them. Fields that were not asked for are unknown. Keeps references to its
// arguments, which must outlive it. Not thread-safe.
class SettingsGroup {
 public:
  using Faults = std::vector<std::string>;

  // Reads group `name` of `document`; an absent group has no fields.
  SettingsGroup(const nlohmann::json& document,
                std::string name,
                Faults& faults);

  // Each of these returns the value of `field`. When the field is absent, or
  // has a fault, they return the fallback or, where there is none, report that
  // the field is missing and return an empty value.
  auto Name(const char* field) -> std::string;
  auto Address(const char* field) -> NamedEndpoint;
  auto Count(const char* field, CountField rule, std::uint64_t fallback)
      -> std::uint64_t;
  auto Number(const char* field, NumberField rule, double fallback) -> double;
  auto Milliseconds(const char* field, CountField rule, Duration fallback)
      -> Duration;
  auto Share(const char* field, double fallback) -> double;
  auto Names(const char* field, std::vector<std::string> fallback)
      -> std::vector<std::string>;
  // List of addresses, which may be empty.
  auto Addresses(const char* field) -> std::vector<NamedEndpoint>;
  // Text of at most `max_length` bytes without control characters.
  auto Text(const char* field, std::size_t max_length) -> std::string;
  // Text of a CURVE key, never shown in faults.
  auto CurveKey(const char* field) -> std::optional<std::string>;

  // Returns the enumerator named by `field`.
  template <typename E>
  auto Choice(const char* field, E fallback) -> E {
    const auto* value = Find(field);
    if (value == nullptr) {
      return fallback;
    }
    const auto choice = value->is_string()
                            ? FromName<E>(value->get<std::string>())
                            : std::optional<E>();
    if (!choice) {
      Refuse(field, value, "must be one of " + NamesOf<E>());
    }
    return choice.value_or(fallback);
  }

  // Adds a fault for every field that was not asked for.
  auto RefuseUnknownFields() -> void;

  // Adds a fault about `field`; shows `value` unless it is null.
  auto Refuse(const std::string& field,
              const nlohmann::json* value,
              const std::string& rule) -> void;

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

  // Returns the value of `field`, or null if it is absent.
  auto Find(const char* field) -> const nlohmann::json*;

  std::string name_;
  const nlohmann::json* fields_ = nullptr;
  std::set<std::string> known_;
  Faults& faults_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_SETTINGS_SETTINGS_GROUP_H_
