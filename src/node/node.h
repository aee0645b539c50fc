#ifndef FLAMINGOYOKE_NODE_NODE_H_
#define FLAMINGOYOKE_NODE_NODE_H_

#include <functional>
#include <memory>
#include <optional>

#include "core/result.h"
#include "node/dialect.h"
#include "runtime/task.h"
#include "settings/settings.h"

namespace flamingoyoke {

// One vm of the fleet: the root of the supervisor tree with its mailboxes.
//
//   root
//   |-- traffic    callers and upstreams (gateway with a published store)
//   |-- control
//   |   |-- fleet      membership, table, placement
//   |   |-- mesh       messages between nodes
//   |   `-- platform   configuration service and list of vms (store with a
//   |                  published store)
//   `-- observe
//       |-- admin      operators
//       `-- telemetry  metrics and spans
//
// Children stop in this order, so that the fleet is told of the vm's leaving
// while traffic drains.
class Node {
 public:
  // Called on the root's thread when the tree has ended; `error` is empty
  // after a requested stop.
  using OnExit = std::function<void(std::optional<Error> error)>;

  // `dialect` says how a published store, its callers and its targets spell
  // things; it is needed if the settings name such a store.
  explicit Node(const Settings& settings,
                std::optional<Dialect> dialect = std::nullopt);
  ~Node();

  Node(const Node&) = delete;
  auto operator=(const Node&) -> Node& = delete;

  // Starts the tree and returns. Call once.
  auto Start(OnExit on_exit) -> void;

  // Asks the tree to stop: kGraceful finishes all accepted requests, kHard
  // answers what remains and ends. Thread-safe.
  auto Stop(StopMode mode) -> void;

 private:
  class Tree;
  std::unique_ptr<Tree> tree_;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_NODE_H_
