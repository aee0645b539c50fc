#ifndef FLAMINGOYOKE_TABLE_COLUMN_H_
#define FLAMINGOYOKE_TABLE_COLUMN_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

// The columns of the operators' table; docs/table.md describes them.
enum class Column {
  kService,
  kRoute,
  kTargets,
  kSlots,
  kConnections,
  kHome,
  kFloor,
  kDeadlineMs,
  kRepeatable,
  kKey,
  kQueue,
  kTeamRate,
  kTeamBurst,
  kLongBytes,
  kLongShare,
  kMaxBodyBytes,
  kRetry,
  kHedgeMs,
};

template <>
struct EnumNames<Column> {
  static constexpr auto kTable = std::to_array<NameEntry<Column>>({
      {Column::kService, "service"},
      {Column::kRoute, "route"},
      {Column::kTargets, "targets"},
      {Column::kSlots, "slots"},
      {Column::kConnections, "connections"},
      {Column::kHome, "home"},
      {Column::kFloor, "floor"},
      {Column::kDeadlineMs, "deadline_ms"},
      {Column::kRepeatable, "repeatable"},
      {Column::kKey, "key"},
      {Column::kQueue, "queue"},
      {Column::kTeamRate, "team_rate"},
      {Column::kTeamBurst, "team_burst"},
      {Column::kLongBytes, "long_bytes"},
      {Column::kLongShare, "long_share"},
      {Column::kMaxBodyBytes, "max_body_bytes"},
      {Column::kRetry, "retry"},
      {Column::kHedgeMs, "hedge_ms"},
  });
};
static_assert(IsDense<Column>());

// Columns without a default. `repeatable` is one of them, since a default
// could repeat work that must run once.
inline constexpr auto kRequiredColumns = std::to_array<Column>(
    {Column::kService, Column::kRoute, Column::kTargets, Column::kRepeatable});

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_COLUMN_H_
