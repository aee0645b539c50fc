#ifndef FLAMINGOYOKE_NODE_NODE_H_
#define FLAMINGOYOKE_NODE_NODE_H_

#include <functional>
#include <memory>
#include <optional>

#include "core/result.h"
#include "node/dialect.h"
#include "runtime/event_loop.h"
#include "runtime/task.h"
#include "settings/settings.h"

namespace flamingoyoke {

// One VM of the fleet: the root of the supervisor tree with its mailboxes.
//
//   root
//   |-- traffic    callers and upstreams (gateway with a published store)
//   |-- control
//   |   |-- fleet      membership, table, placement
//   |   |-- mesh       messages between nodes
//   |   `-- platform   configuration service and list of VMs (store with a
//   |                  published store)
//   `-- observe
//       |-- admin      operators
//       `-- telemetry  metrics and spans
//
// Children stop in this order, so that peers learn that the VM is leaving while
// its traffic drains. The task in place of traffic has a thread of its own, and
// so has telemetry if it writes spans to a file; all other tasks share the loop
// that the node is started on.
class Node {
 public:
  // Called on the loop when all tasks have ended. `error` is empty
  // after a requested stop.
  using OnExit = std::function<void(std::optional<Error> error)>;

  // `dialect` defines the protocol of the published store, its callers and its
  // targets. It is required if the settings name a published store.
  explicit Node(const Settings& settings,
                std::optional<Dialect> dialect = std::nullopt);
  // Precondition: called on the thread of the loop that the node was started
  // on.
  ~Node();

  Node(const Node&) = delete;
  auto operator=(const Node&) -> Node& = delete;

  // Starts the tree on `loop`, which must outlive the node, and returns. Call
  // once, on the thread of `loop`.
  auto Start(EventLoop& loop, const OnExit& on_exit) -> void;

  // Requests a stop of all tasks. kGraceful finishes all accepted requests;
  // kHard answers the remaining requests at once. Thread-safe.
  auto Stop(StopMode mode) -> void;

 private:
  class Tree;
  std::unique_ptr<Tree> tree_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_NODE_H_
