#ifndef FLAMINGOYOKE_NODE_CONTROL_FLEET_TABLE_STORE_H_
#define FLAMINGOYOKE_NODE_CONTROL_FLEET_TABLE_STORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "decision/peer/peer_message.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Reads the texts of table shards and joins those in force. Not thread-safe.
class TableStore {
 public:
  // Reads `text` and keeps the rows until they are put in force or replaced.
  // Returns why the text is refused, or nothing if it is valid.
  auto Check(const TableDigest& digest, const std::string& text)
      -> std::optional<std::string>;

  // Puts the version that was checked last for its shard in force.
  // Precondition: Check accepted `digest`.
  auto PutInForce(const TableDigest& digest) -> void;

  // Returns the table in force, null before the first. The revision is the
  // highest of all shards. A service that is in several shards is taken from
  // the first.
  [[nodiscard]] auto table() const -> std::shared_ptr<const Table> {
    return table_;
  }

 private:
  auto Join() -> void;

  std::map<std::uint32_t, Table> checked_;
  std::map<std::uint32_t, Table> in_force_;
  std::shared_ptr<const Table> table_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_TABLE_STORE_H_
