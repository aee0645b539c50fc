#ifndef FLAMINGOYOKE_TABLE_CONFIGURATION_CHECK_H_
#define FLAMINGOYOKE_TABLE_CONFIGURATION_CHECK_H_

#include <array>
#include <string>
#include <vector>

#include "core/name_table.h"
#include "table/configuration_entry.h"
#include "table/routing.h"
#include "table/service_row.h"

namespace flamingoyoke {

// What a finding in a configuration means for its callers.
enum class FindingKind {
  kError,          // The fleet refuses the configuration or cannot use it.
  kUnreachable,    // An entry that no request can match.
  kContradiction,  // Limits that cannot hold together.
};

template <>
struct EnumNames<FindingKind> {
  static constexpr auto kTable = std::to_array<NameEntry<FindingKind>>({
      {FindingKind::kError, "error"},
      {FindingKind::kUnreachable, "unreachable"},
      {FindingKind::kContradiction, "contradiction"},
  });
};
static_assert(IsDense<FindingKind>());

struct ConfigurationFinding {
  FindingKind kind = FindingKind::kError;
  EntryKind entry = EntryKind::kRoute;
  std::string name;
  // Empty if the finding concerns the whole entry.
  std::string field;
  // Does not contain keys of teams.
  std::string reason;

  auto operator==(const ConfigurationFinding&) const -> bool = default;
};

// Return what is wrong with a configuration that could be read, by entry.
// Thread-safe.
auto CheckConfiguration(const Routing& routing)
    -> std::vector<ConfigurationFinding>;
auto CheckConfiguration(const Table& table)
    -> std::vector<ConfigurationFinding>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_CONFIGURATION_CHECK_H_
