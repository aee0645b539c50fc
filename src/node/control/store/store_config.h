#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_

#include <cstdint>
#include <string>

#include "core/time.h"

namespace flamingoyoke {

// Where and how the published store is read.
struct StoreConfig {
  std::string host;
  std::uint16_t port = 0;
  // How long a watch waits for a change. A watch on a connection that went
  // silent, or a store that turns this vm away, is found after this time and
  // the timeout below; then other vms read. Together they stay well below the
  // two seconds within which a change has to be in force.
  Duration watch_time = std::chrono::milliseconds(600);
  // The store answers in milliseconds; a connection that stays silent for
  // longer has lost its answer for good.
  Duration read_timeout = std::chrono::milliseconds(500);
  // Between two watches, so that changes in quick succession share one.
  Duration watch_pause = std::chrono::milliseconds(50);
  // Seed of the jitter; differs between processes.
  std::uint64_t seed = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_
