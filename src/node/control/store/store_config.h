#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_

#include <cstdint>
#include <string>

#include "core/time.h"

namespace flamingoyoke {

// Address, timeouts and intervals for reading the published store.
struct StoreConfig {
  std::string host;
  std::uint16_t port = 0;
  // How long the store may hold a watch open. A stalled connection is detected
  // after watch_timeout + read_timeout. The sum stays below
  // ReadRecovery::kMaxUnansweredTime, so that the read can be repeated before
  // other VMs take over.
  Duration watch_timeout = std::chrono::milliseconds(600);
  // The store normally responds within milliseconds. After this timeout the
  // request counts as failed and its connection is closed.
  Duration read_timeout = std::chrono::milliseconds(500);
  // Delay between two watches, which batches changes in quick succession.
  Duration watch_interval = std::chrono::milliseconds(50);
  // Seed of the retry jitter; must differ between processes.
  std::uint64_t seed = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_
