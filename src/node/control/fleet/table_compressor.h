#ifndef FLAMINGOYOKE_NODE_CONTROL_FLEET_TABLE_COMPRESSOR_H_
#define FLAMINGOYOKE_NODE_CONTROL_FLEET_TABLE_COMPRESSOR_H_

#include <cstddef>
#include <deque>
#include <string_view>

#include "core/result.h"
#include "decision/peer/peer_message.h"

namespace flamingoyoke {

// Maximum size of the text of a compressed table. A registry of 7,100 targets
// takes about 700 kB.
inline constexpr std::size_t kMaxTableBytes = std::size_t{16} << 20;
// Number of compressed tables that are kept. Most peers have the version in
// force before, and a started VM has none.
inline constexpr std::size_t kMaxKeptCompressedTables = 4;

// Compresses tables for peers and expands those of peers. Keeps the last
// results, so that a table that many peers pull is compressed once, and one
// that a peer sent is passed on as it came. Not thread-safe.
class TableCompressor {
 public:
  // Fails with kResourceRefused. Precondition: `table.base` is set.
  auto Compress(const TableData& table) -> Result<CompressedTable>;

  // `base` is the text of the version `table.base`, empty if that is 0. Fails
  // with kMalformedMessage.
  auto Expand(const CompressedTable& table, std::string_view base)
      -> Result<TableData>;

 private:
  auto Keep(const CompressedTable& table) -> void;

  std::deque<CompressedTable> kept_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_TABLE_COMPRESSOR_H_
