#include "node/control/fleet/table_store.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "core/overloaded.h"
#include "table/table_reader.h"

namespace flamingoyoke {
namespace {

auto Describe(const TableFaults& faults) -> std::string {
  if (faults.empty()) {
    return "the table is invalid";
  }
  const auto& fault = faults.front();
  std::string text;
  if (fault.row > 0) {
    text += "row " + std::to_string(fault.row) + ": ";
  }
  if (!fault.column.empty()) {
    text += fault.column + " \"" + fault.value + "\": ";
  }
  text += fault.reason;
  if (faults.size() > 1) {
    text += " (and " + std::to_string(faults.size() - 1) + " more)";
  }
  return text;
}

}  // namespace

auto TableStore::Check(const TableDigest& digest, const std::string& text)
    -> std::optional<std::string> {
  return std::visit(Overloaded{
                        [&](Table&& table) -> std::optional<std::string> {
                          checked_[digest.shard] = std::move(table);
                          return std::nullopt;
                        },
                        [](TableFaults&& faults) -> std::optional<std::string> {
                          return Describe(faults);
                        },
                    },
                    ReadTable(text, digest.revision));
}

auto TableStore::Activate(const TableDigest& digest) -> void {
  const auto checked = checked_.find(digest.shard);
  if (checked == checked_.end()) {
    return;
  }
  active_[digest.shard] = std::move(checked->second);
  checked_.erase(checked);
  MergeShards();
}

auto TableStore::MergeShards() -> void {
  auto merged = std::make_shared<Table>();
  std::unordered_set<ServiceId> seen;
  for (const auto& [shard, table] : active_) {
    merged->revision = std::max(merged->revision, table.revision);
    for (const auto& row : table.rows) {
      if (seen.insert(row.service).second) {
        merged->rows.push_back(row);
      }
    }
  }
  table_ = std::move(merged);
}

}  // namespace flamingoyoke
