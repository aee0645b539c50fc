#ifndef FLAMINGOYOKE_TABLE_CONFIGURATION_ENTRY_H_
#define FLAMINGOYOKE_TABLE_CONFIGURATION_ENTRY_H_

#include <array>
#include <string>
#include <vector>

#include "core/name_table.h"
#include "table/routing.h"
#include "table/service_row.h"

namespace flamingoyoke {

// What an entry of a configuration describes.
enum class EntryKind { kRoute, kService, kTeam, kLimits, kRow };

template <>
struct EnumNames<EntryKind> {
  static constexpr auto kTable = std::to_array<NameEntry<EntryKind>>({
      {EntryKind::kRoute, "route"},
      {EntryKind::kService, "service"},
      {EntryKind::kTeam, "team"},
      {EntryKind::kLimits, "limits"},
      {EntryKind::kRow, "row"},
  });
};
static_assert(IsDense<EntryKind>());

struct ConfigurationField {
  std::string name;
  // Value for display. Does not contain secrets.
  std::string text;
  // Secret part of the value, which is compared but never displayed.
  std::string secret = {};
};

// A named part of a configuration, with its values as text.
struct ConfigurationEntry {
  EntryKind kind = EntryKind::kRoute;
  std::string name;
  std::vector<ConfigurationField> fields;
};

// Return the entries of a configuration, sorted by kind and name. Thread-safe.
auto EntriesOf(const Routing& routing) -> std::vector<ConfigurationEntry>;
auto EntriesOf(const Table& table) -> std::vector<ConfigurationEntry>;

// How an entry or a field differs from the version in force.
enum class DifferenceKind { kAdded, kRemoved, kChanged };

template <>
struct EnumNames<DifferenceKind> {
  static constexpr auto kTable = std::to_array<NameEntry<DifferenceKind>>({
      {DifferenceKind::kAdded, "added"},
      {DifferenceKind::kRemoved, "removed"},
      {DifferenceKind::kChanged, "changed"},
  });
};
static_assert(IsDense<DifferenceKind>());

struct ConfigurationDifference {
  DifferenceKind kind = DifferenceKind::kChanged;
  EntryKind entry = EntryKind::kRoute;
  std::string name;
  // Empty unless `kind` is kChanged.
  std::string field;
  std::string before;
  std::string after;
};

// Returns what changes from `before` to `after`, by entry and field. Both must
// be sorted as by EntriesOf. Thread-safe.
auto CompareEntries(const std::vector<ConfigurationEntry>& before,
                    const std::vector<ConfigurationEntry>& after)
    -> std::vector<ConfigurationDifference>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_CONFIGURATION_ENTRY_H_
