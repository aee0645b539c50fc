#ifndef FLAMINGOYOKE_NODE_CONTROL_FLEET_PUBLISHED_STORE_H_
#define FLAMINGOYOKE_NODE_CONTROL_FLEET_PUBLISHED_STORE_H_

#include <memory>
#include <optional>
#include <string>

#include "decision/peer/peer_message.h"
#include "table/registry.h"
#include "table/routing.h"

namespace flamingoyoke {

// Parses the shards of the published configuration and the registry, which
// replace the operators' table, and holds the active versions. Not
// thread-safe.
class PublishedStore {
 public:
  // Parses `text` and keeps the result until it is activated or replaced.
  // Returns the reason if `text` is invalid.
  auto Check(const TableDigest& digest, const std::string& text)
      -> std::optional<std::string>;

  // Activates the version that was last checked for its shard.
  // Precondition: Check accepted `digest`.
  auto Activate(const TableDigest& digest) -> void;

  // Active versions; null before the first activation.
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
