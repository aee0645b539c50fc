#include "node/control/fleet/table_compressor.h"

#include <algorithm>
#include <utility>

#include "wire/text_compression.h"

namespace flamingoyoke {

auto TableCompressor::Compress(const TableData& table)
    -> Result<CompressedTable> {
  const auto kept = std::find_if(
      kept_.begin(), kept_.end(), [&](const CompressedTable& each) {
        return each.digest == table.digest && each.base == table.base->hash;
      });
  if (kept != kept_.end()) {
    return *kept;
  }
  BOOST_LEAF_AUTO(bytes, CompressText(table.text, table.base->text));
  CompressedTable compressed{table.digest, table.base->hash, std::move(bytes)};
  Keep(compressed);
  return compressed;
}

auto TableCompressor::Expand(const CompressedTable& table,
                             std::string_view base) -> Result<TableData> {
  BOOST_LEAF_AUTO(text, ExpandText(table.bytes, base, kMaxTableBytes));
  Keep(table);
  return TableData{table.digest, std::move(text)};
}

auto TableCompressor::Keep(const CompressedTable& table) -> void {
  kept_.push_front(table);
  if (kept_.size() > kMaxKeptCompressedTables) {
    kept_.pop_back();
  }
}

}  // namespace flamingoyoke
