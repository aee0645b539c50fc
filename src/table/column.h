#ifndef FLAMINGOYOKE_TABLE_COLUMN_H_
#define FLAMINGOYOKE_TABLE_COLUMN_H_

#include <array>

#include "core/name_table.h"

namespace flamingoyoke {

// The columns of the service table; see docs/table.md.
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

// Columns without a default value. `repeatable` has none because a wrong
// default could retry requests that must run only once.
inline constexpr auto kRequiredColumns = std::to_array<Column>(
    {Column::kService, Column::kRoute, Column::kTargets, Column::kRepeatable});

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_TABLE_COLUMN_H_
