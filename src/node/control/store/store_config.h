#ifndef FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_

#include <cstdint>
#include <string>

#include "core/time.h"

namespace flamingoyoke {

// Where and how often the published store is read.
struct StoreConfig {
  std::string host;
  std::uint16_t port = 0;
  // Between two watches of a reader. Targets renew their entries all the time,
  // so that a watch hardly ever waits.
  Duration read_period = std::chrono::milliseconds(400);
  // The store answers in milliseconds; a connection that stays silent for
  // longer has lost its answer for good.
  Duration read_timeout = std::chrono::milliseconds(1000);
  // Seed of the jitter; differs between processes.
  std::uint64_t seed = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_STORE_STORE_CONFIG_H_
