#ifndef FLAMINGOYOKE_NODE_CONTROL_PLATFORM_PLATFORM_CONFIG_H_
#define FLAMINGOYOKE_NODE_CONTROL_PLATFORM_PLATFORM_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/time.h"

namespace flamingoyoke {

// Settings of the platform task, which reads the configuration service.
struct PlatformConfig {
  // Address of the configuration service.
  std::string host;
  std::uint16_t port = 0;
  // Keys of the table shards, indexed by shard number.
  std::vector<std::string> table_keys;
  // How long the service may hold a watch open.
  Duration watch_timeout = std::chrono::seconds(30);
  // Seed of the retry jitter; must differ between processes.
  std::uint64_t seed = 0;
};

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_NODE_CONTROL_PLATFORM_PLATFORM_CONFIG_H_
