#ifndef FLAMINGOYOKE_NODE_CONTROL_FLEET_PUBLISHED_STORE_H_
#define FLAMINGOYOKE_NODE_CONTROL_FLEET_PUBLISHED_STORE_H_

#include <memory>
#include <optional>
#include <string>

#include "decision/peer/peer_message.h"
#include "table/registry.h"
#include "table/routing.h"

namespace flamingoyoke {

// Reads the shards of the published configuration and the registry, in place
// of those of the operators' table, and keeps what is in force. Not
// thread-safe.
class PublishedStore {
 public:
  // Reads `text` and keeps it until it is put in force or replaced. Returns
  // why it is refused, or nothing if it is valid.
  auto Check(const TableDigest& digest, const std::string& text)
      -> std::optional<std::string>;

  // Puts the version that was checked last for its shard in force.
  // Precondition: Check accepted `digest`.
  auto PutInForce(const TableDigest& digest) -> void;

  // What is in force; null before the first version.
  [[nodiscard]] auto routing() const -> std::shared_ptr<const Routing> {
    return routing_;
  }
  [[nodiscard]] auto registry() const -> std::shared_ptr<const Registry> {
    return registry_;
  }

 private:
  std::optional<Routing> checked_routing_;
  std::optional<Registry> checked_registry_;
  std::shared_ptr<const Routing> routing_;
  std::shared_ptr<const Registry> registry_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_FLEET_PUBLISHED_STORE_H_
