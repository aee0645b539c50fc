#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_FAULT_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_FAULT_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "core/time.h"
#include "standins/target/target_task.h"

namespace flamingoyoke::integration {

// Faults from outside of the processes.
struct StopGateway {
  std::size_t gateway = 0;
  // Further signals, 50 ms apart.
  std::vector<int> then;
};
// SIGTERM to several gateways in turn.
struct RollGateways {
  std::vector<std::size_t> gateways;
  Duration gap = Duration::zero();
};
struct ReloadGateway {
  std::size_t gateway = 0;
};
struct KillGateway {
  std::size_t gateway = 0;
};
struct PauseGateway {
  std::size_t gateway = 0;
  Duration length = Duration::zero();
};
// Resets the connections of all callers to a gateway.
struct ResetGateway {
  std::size_t gateway = 0;
};
struct HarmTarget {
  std::size_t target = 0;
  standin::TargetMode mode = standin::TargetMode::kNormal;
  Duration length = Duration::zero();
};
// A target drains and returns as a new start, while many routes are added.
struct ReplaceTarget {
  std::size_t target = 0;
  Duration length = Duration::zero();
};
struct StoreOutage {
  Duration length = Duration::zero();
};
// The store returns from a copy, `returns` times in series, and loses the start
// of a target after `lost_heartbeats`.
struct StoreReturn {
  std::size_t target = 0;
  std::size_t lost_heartbeats = 0;
  // Age of the copy at the first return.
  Duration age = Duration::zero();
  // How long the store is away before each return.
  Duration away = Duration::zero();
  std::size_t returns = 1;
};
struct EndWatches {
  std::string end;
};
struct CompactHistory {};
// Callers send more requests.
struct Burst {
  Duration length = Duration::zero();
};
// A key leaves the configuration and returns.
struct LoseKey {
  std::string key;
  Duration length = Duration::zero();
};
// The limit of a team becomes `factor` times that of the settings.
struct ChangeLimit {
  std::size_t team = 0;
  double factor = 1;
};
using Fault = std::variant<StopGateway,
                           RollGateways,
                           ReloadGateway,
                           KillGateway,
                           PauseGateway,
                           ResetGateway,
                           HarmTarget,
                           ReplaceTarget,
                           StoreOutage,
                           StoreReturn,
                           EndWatches,
                           CompactHistory,
                           Burst,
                           LoseKey,
                           ChangeLimit>;

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_FAULT_H_
