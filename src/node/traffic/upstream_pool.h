#ifndef FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_POOL_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_POOL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "node/traffic/upstream_connection.h"
#include "runtime/event_loop.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Keeps the connections of one service, at most the vm's share per target.
// Not thread-safe.
class UpstreamPool {
 public:
  // A connection on loan from the pool.
  struct Lease {
    TargetId target;
    // Connections of an older generation are not used again.
    std::uint64_t generation = 0;
    std::unique_ptr<UpstreamConnection> connection;
  };

  UpstreamPool(EventLoop& loop, UpstreamInterface interface);

  // Takes the targets of `row` and its share of connections. Idle connections
  // to targets that left the row are closed.
  auto Configure(const ServiceRow& row) -> void;

  // Returns an idle connection, or a new one if there is none or `force_new` is
  // set. The connection is null if the target is unknown or its share of
  // connections is used up.
  auto Acquire(const TargetId& target, bool force_new) -> Lease;

  // Takes a connection back; one that is not usable is closed. May be called
  // from the connection's own callbacks.
  auto Release(Lease lease) -> void;

  // Closes idle connections of the target and lets none be used again.
  auto Retire(const TargetId& target) -> void;

  // Number of open connections to the target.
  [[nodiscard]] auto open_connections(const TargetId& target) const
      -> std::size_t;

 private:
  struct TargetConnections {
    TargetSpec spec;
    std::vector<std::unique_ptr<UpstreamConnection>> idle;
    std::size_t leased = 0;
    std::uint64_t generation = 0;
  };

  auto OnIdleClose(const TargetId& target, const UpstreamConnection* closed)
      -> void;
  // Destroys a connection from the loop, as its callbacks may be running.
  auto Discard(std::unique_ptr<UpstreamConnection> connection) -> void;

  EventLoop& loop_;
  const UpstreamInterface interface_;
  std::unordered_map<TargetId, TargetConnections> targets_;
  std::size_t max_connections_ = 1;
  std::vector<std::unique_ptr<UpstreamConnection>> discarded_;
  EventLoop::Handle cleanup_timer_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_POOL_H_
