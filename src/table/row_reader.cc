#include "table/row_reader.h"

#include <algorithm>
#include <string>

#include "core/name_rule.h"
#include "table/route_rule.h"
#include "table/target_reader.h"

namespace flamingoyoke {
namespace {

constexpr IntegerRange kSlotsRange{1, 1024};
constexpr IntegerRange kConnectionsRange{1, 100'000};
// The members of a home set exchange their loads, so the set must not be larger
// than the number of peers that a node communicates with.
constexpr IntegerRange kHomeRange{1, 24};
constexpr DecimalRange kShareRange{0, 1};
constexpr IntegerRange kDeadlineRange{1, 600'000};
constexpr IntegerRange kQueueRange{1, 100'000};
constexpr DecimalRange kTeamRateRange{0, 1'000'000};
constexpr DecimalRange kTeamBurstRange{1, 1'000'000};
// evhttp buffers whole bodies in memory; 256 MB would exhaust a small VM.
constexpr IntegerRange kBodyRange{1, 256'000'000};
constexpr IntegerRange kLongBytesRange{0, 256'000'000};
constexpr IntegerRange kHedgeRange{0, 600'000};

auto ReadService(CellReader& cells) -> ServiceId {
  const auto text = cells.Text(Column::kService);
  if (!IsValidName(text)) {
    cells.AddFault(Column::kService, text, kNameRule);
  }
  return ServiceId(std::string(text));
}

auto ReadRoutes(CellReader& cells) -> std::vector<std::string> {
  const auto items = cells.ReadList(Column::kRoute);
  if (items.empty()) {
    cells.AddFault(Column::kRoute, "", "a service needs at least one route");
  }
  std::vector<std::string> routes;
  for (const auto item : items) {
    if (IsValidRoute(item)) {
      routes.emplace_back(item);
    } else {
      cells.AddFault(Column::kRoute, item, kRouteRule);
    }
  }
  return routes;
}

auto ReadRepeatable(CellReader& cells) -> bool {
  const auto text = cells.Text(Column::kRepeatable);
  if (text != "yes" && text != "no") {
    cells.AddFault(Column::kRepeatable, text, "must be yes or no");
  }
  return text == "yes";
}

auto ReadKeyPolicy(CellReader& cells, bool repeatable) -> KeyPolicy {
  const auto fallback = repeatable ? KeyPolicy::kNone : KeyPolicy::kRequired;
  const auto text = cells.Text(Column::kKey);
  if (text.empty()) {
    return fallback;
  }
  const auto policy = FromName<KeyPolicy>(text);
  if (!policy) {
    cells.AddFault(Column::kKey, text, "must be required, optional or none");
    return fallback;
  }
  if (*policy == KeyPolicy::kNone && !repeatable) {
    cells.AddFault(Column::kKey, text,
                   "none is only allowed for repeatable services; use required "
                   "or optional");
  }
  return *policy;
}

auto ReadCapacity(CellReader& cells, ServiceRow& row) -> void {
  const auto read_integer = [&](Column column, IntegerRange range,
                                std::uint32_t fallback) {
    return static_cast<std::uint32_t>(
        cells.ReadInteger(column, range, fallback));
  };
  row.slots = read_integer(Column::kSlots, kSlotsRange, row.slots);
  row.connections = read_integer(Column::kConnections, kConnectionsRange,
                                 std::max(row.connections, row.slots));
  row.home = read_integer(Column::kHome, kHomeRange, row.home);
  row.queue_limit = read_integer(Column::kQueue, kQueueRange, row.queue_limit);
  row.floor = cells.ReadDecimal(Column::kFloor, kShareRange, row.floor);
  if (row.connections < row.slots) {
    cells.AddFault(
        Column::kConnections, cells.Text(Column::kConnections),
        "must be at least slots, since each request in progress needs "
        "a connection");
  }
}

auto ReadTeamLimit(CellReader& cells, ServiceRow& row) -> void {
  row.team_rate = cells.ReadDecimal(Column::kTeamRate, kTeamRateRange, 0);
  const auto burst = cells.Text(Column::kTeamBurst);
  if (row.team_rate > 0) {
    row.team_burst = cells.ReadDecimal(Column::kTeamBurst, kTeamBurstRange,
                                       std::max(1.0, row.team_rate));
    return;
  }
  if (!burst.empty() && burst != "0") {
    cells.AddFault(Column::kTeamBurst, burst,
                   "has no effect without team_rate; set team_rate or use 0");
  }
}

auto ReadLongRequestLimits(CellReader& cells, ServiceRow& row) -> void {
  row.max_body_bytes =
      cells.ReadInteger(Column::kMaxBodyBytes, kBodyRange, row.max_body_bytes);
  row.long_bytes = cells.ReadInteger(Column::kLongBytes, kLongBytesRange, 0);
  row.long_share =
      cells.ReadDecimal(Column::kLongShare, kShareRange, row.long_share);
}

auto ReadTimes(CellReader& cells, ServiceRow& row) -> void {
  const auto default_deadline =
      static_cast<std::uint64_t>(ToMilliseconds(row.deadline));
  const auto deadline_ms =
      cells.ReadInteger(Column::kDeadlineMs, kDeadlineRange, default_deadline);
  const auto hedge_ms = cells.ReadInteger(Column::kHedgeMs, kHedgeRange, 0);
  row.deadline = std::chrono::milliseconds(deadline_ms);
  row.hedge_delay = std::chrono::milliseconds(hedge_ms);
  if (hedge_ms == 0) {
    return;
  }
  const auto text = cells.Text(Column::kHedgeMs);
  if (!row.repeatable) {
    cells.AddFault(Column::kHedgeMs, text,
                   "only repeatable services can be hedged; use 0");
  }
  if (hedge_ms >= deadline_ms) {
    cells.AddFault(Column::kHedgeMs, text, "must be below deadline_ms");
  }
}

}  // namespace

auto ReadRow(CellReader& cells) -> ServiceRow {
  ServiceRow row;
  row.service = ReadService(cells);
  row.routes = ReadRoutes(cells);
  row.targets = ReadTargets(cells);
  row.repeatable = ReadRepeatable(cells);
  row.key_policy = ReadKeyPolicy(cells, row.repeatable);
  row.retry_share =
      cells.ReadDecimal(Column::kRetry, kShareRange, row.retry_share);
  ReadCapacity(cells, row);
  ReadTimes(cells, row);
  ReadTeamLimit(cells, row);
  ReadLongRequestLimits(cells, row);
  return row;
}

}  // namespace flamingoyoke
