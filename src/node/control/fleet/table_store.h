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

// Parses table shards and merges the active ones. Not thread-safe.
class TableStore {
 public:
  // Parses `text` and keeps the rows until they are activated or replaced.
  // Returns the reason if `text` is invalid.
  auto Check(const TableDigest& digest, const std::string& text)
      -> std::optional<std::string>;

  // Activates the version that was last checked for its shard.
  // Precondition: Check accepted `digest`.
  auto Activate(const TableDigest& digest) -> void;

  // Returns the active table, or null before the first activation. Its revision
  // is the highest of all shards. If several shards define a service, the
  // first one wins.
  [[nodiscard]] auto table() const -> std::shared_ptr<const Table> {
    return table_;
  }

 private:
  auto MergeShards() -> void;

  std::map<std::uint32_t, Table> checked_;
  std::map<std::uint32_t, Table> active_;
  std::shared_ptr<const Table> table_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_TABLE_STORE_H_
