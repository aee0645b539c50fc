#include "table/row_reader.h"

#include <algorithm>
#include <string>

#include "core/name_rule.h"
#include "table/route_rule.h"
#include "table/target_reader.h"

namespace flamingoyoke {
namespace {

constexpr CountRange kSlotsRange{1, 1024};
constexpr CountRange kConnectionsRange{1, 100'000};
// A home set larger than the peers that a node talks to could not share loads.
constexpr CountRange kHomeRange{1, 24};
constexpr DecimalRange kShareRange{0, 1};
constexpr CountRange kDeadlineRange{1, 600'000};
constexpr CountRange kQueueRange{1, 100'000};
constexpr DecimalRange kTeamRateRange{0, 1'000'000};
constexpr DecimalRange kTeamBurstRange{1, 1'000'000};
// evhttp holds whole bodies in memory, so 256 MB would fill a small vm.
constexpr CountRange kBodyRange{1, 256'000'000};
constexpr CountRange kLongBytesRange{0, 256'000'000};
constexpr CountRange kHedgeRange{0, 600'000};

auto ReadService(CellReader& cells) -> ServiceId {
  const auto text = cells.Text(Column::kService);
  if (!IsValidName(text)) {
    cells.Refuse(Column::kService, text, kNameRule);
  }
  return ServiceId(std::string(text));
}

auto ReadRoutes(CellReader& cells) -> std::vector<std::string> {
  const auto items = cells.List(Column::kRoute);
  if (items.empty()) {
    cells.Refuse(Column::kRoute, "", "a service needs at least one route");
  }
  std::vector<std::string> routes;
  for (const auto item : items) {
    if (IsValidRoute(item)) {
      routes.emplace_back(item);
    } else {
      cells.Refuse(Column::kRoute, item, kRouteRule);
    }
  }
  return routes;
}

auto ReadRepeatable(CellReader& cells) -> bool {
  const auto text = cells.Text(Column::kRepeatable);
  if (text != "yes" && text != "no") {
    cells.Refuse(Column::kRepeatable, text, "must be yes or no");
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
    cells.Refuse(Column::kKey, text, "must be required, optional or none");
    return fallback;
  }
  if (*policy == KeyPolicy::kNone && !repeatable) {
    cells.Refuse(Column::kKey, text,
                 "none is only for repeatable work; use required or optional");
  }
  return *policy;
}

auto ReadCapacity(CellReader& cells, ServiceRow& row) -> void {
  const auto count = [&](Column column, CountRange range, std::uint32_t value) {
    return static_cast<std::uint32_t>(cells.Count(column, range, value));
  };
  row.slots = count(Column::kSlots, kSlotsRange, row.slots);
  row.connections = count(Column::kConnections, kConnectionsRange,
                          std::max(row.connections, row.slots));
  row.home = count(Column::kHome, kHomeRange, row.home);
  row.queue_limit = count(Column::kQueue, kQueueRange, row.queue_limit);
  row.floor = cells.Decimal(Column::kFloor, kShareRange, row.floor);
  if (row.connections < row.slots) {
    cells.Refuse(Column::kConnections, cells.Text(Column::kConnections),
                 "must be at least slots, since each request in progress needs "
                 "a connection");
  }
}

auto ReadTeamLimit(CellReader& cells, ServiceRow& row) -> void {
  row.team_rate = cells.Decimal(Column::kTeamRate, kTeamRateRange, 0);
  const auto burst = cells.Text(Column::kTeamBurst);
  if (row.team_rate > 0) {
    row.team_burst = cells.Decimal(Column::kTeamBurst, kTeamBurstRange,
                                   std::max(1.0, row.team_rate));
    return;
  }
  if (!burst.empty() && burst != "0") {
    cells.Refuse(Column::kTeamBurst, burst,
                 "has no effect without team_rate; set team_rate or use 0");
  }
}

auto ReadLongWork(CellReader& cells, ServiceRow& row) -> void {
  row.max_body_bytes =
      cells.Count(Column::kMaxBodyBytes, kBodyRange, row.max_body_bytes);
  row.long_bytes = cells.Count(Column::kLongBytes, kLongBytesRange, 0);
  row.long_share =
      cells.Decimal(Column::kLongShare, kShareRange, row.long_share);
}

auto ReadTimes(CellReader& cells, ServiceRow& row) -> void {
  const auto default_deadline =
      static_cast<std::uint64_t>(ToMilliseconds(row.deadline));
  const auto deadline_ms =
      cells.Count(Column::kDeadlineMs, kDeadlineRange, default_deadline);
  const auto hedge_ms = cells.Count(Column::kHedgeMs, kHedgeRange, 0);
  row.deadline = std::chrono::milliseconds(deadline_ms);
  row.hedge_delay = std::chrono::milliseconds(hedge_ms);
  if (hedge_ms == 0) {
    return;
  }
  const auto text = cells.Text(Column::kHedgeMs);
  if (!row.repeatable) {
    cells.Refuse(Column::kHedgeMs, text,
                 "only repeatable work can be hedged; use 0");
  }
  if (hedge_ms >= deadline_ms) {
    cells.Refuse(Column::kHedgeMs, text, "must be below deadline_ms");
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
  row.retry_share = cells.Decimal(Column::kRetry, kShareRange, row.retry_share);
  ReadCapacity(cells, row);
  ReadTimes(cells, row);
  ReadTeamLimit(cells, row);
  ReadLongWork(cells, row);
  return row;
}

}  // namespace flamingoyoke
