#ifndef FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_POOL_H_
#define FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_POOL_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/ids.h"
#include "node/traffic/connection_part.h"
#include "node/traffic/upstream_connection.h"
#include "runtime/event_loop.h"
#include "table/service_row.h"

namespace flamingoyoke {

// Connection pool of one service. Limits the connections per target to this
// VM's share of the limit in the row. Not thread-safe.
class UpstreamPool {
 public:
  // A connection that was taken out of the pool.
  struct Lease {
    TargetId target;
    // Connections of an older generation are not reused.
    std::uint64_t generation = 0;
    std::unique_ptr<UpstreamConnection> connection;
    // Whether the connection is null because this process may open no more.
    bool is_part_used_up = false;
  };

  // `loop`, `memory` and `part`, which limits the connections of all pools,
  // must outlive the pool.
  UpstreamPool(EventLoop& loop,
               UpstreamInterface interface,
               AnswerMemory& memory,
               ConnectionPart& part);

  // Applies the targets and the connection limit of `row`. Idle connections to
  // removed targets are closed.
  auto Configure(const ServiceRow& row) -> void;

  // Returns an idle connection, or a new one if there is none or `force_new` is
  // set. The connection is null if the target is unknown or has reached its
  // connection limit, or if the part of all pools is used up.
  auto Acquire(const TargetId& target, bool force_new) -> Lease;

  // Returns a connection to the pool, or closes it if it is not usable. May be
  // called from the callbacks of the connection.
  auto Release(Lease lease) -> void;

  // Closes the idle connections to the target and prevents reuse of the leased
  // ones.
  auto Retire(const TargetId& target) -> void;

  // Number of idle and leased connections to the target.
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
  // Closes the idle connection that was not used for longest, of the target
  // with most of them. Returns false if there is none.
  auto CloseIdle() -> bool;
  // Destroys a connection in a later event, as its callbacks may be running.
  auto Discard(std::unique_ptr<UpstreamConnection> connection) -> void;

  EventLoop& loop_;
  const UpstreamInterface interface_;
  AnswerMemory& memory_;
  ConnectionPart& part_;
  std::unordered_map<TargetId, TargetConnections> targets_;
  std::size_t max_connections_ = 1;
  std::vector<std::unique_ptr<UpstreamConnection>> discarded_;
  EventLoop::Handle cleanup_timer_;
  const ConnectionPart::Registration registration_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_TRAFFIC_UPSTREAM_POOL_H_
