#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_FAULT_PLAYER_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_FAULT_PLAYER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "integration/soak/caller_task.h"
#include "integration/soak/fault.h"
#include "integration/soak/gateway_watch.h"
#include "integration/soak/soak_settings.h"
#include "integration/soak/soak_store.h"
#include "integration/support/published_fleet.h"
#include "runtime/mailbox.h"

namespace flamingoyoke::integration {

// Picks random faults and plays them, each until its end. Not thread-safe.
class FaultPlayer {
 public:
  // All arguments must outlive the player.
  FaultPlayer(const SoakSettings& settings,
              Random& random,
              PublishedStoreFleet& fleet,
              GatewayWatch& gateways,
              SoakStore& store,
              Mailbox<CallerMessage>& callers);

  auto PlayRandom() -> void;
  auto Play(const Fault& fault) -> void;

  // Takes the steps of faults that are due.
  auto Tick() -> void;
  // Whether all faults have ended.
  [[nodiscard]] auto IsIdle() const -> bool { return steps_.empty(); }

  auto RandomTime(std::uint64_t min_ms, std::uint64_t max_ms) -> Duration;
  // Picks the name of a way to end watches.
  auto PickWatchEnd() -> std::string;
  // Returns one or two returns of the store from a copy of a random age.
  auto PickStoreReturn() -> StoreReturn;
  // Returns a roll of stops through some of the gateways.
  auto PickRoll() -> RollGateways;
  // Returns a mode other than the normal one for some target.
  auto PickHarm() -> HarmTarget;
  // Returns the loss of any caller's key.
  auto PickKeyLoss() -> LoseKey;
  // Returns a new limit of a team. Precondition: the team has a limit.
  auto PickLimit(std::size_t team) -> ChangeLimit;

 private:
  auto PickFault() -> Fault;
  auto PickSignals() -> std::vector<int>;
  auto After(Duration delay, std::function<void()> step) -> void;

  auto Apply(const StopGateway& fault) -> void;
  auto Apply(const RollGateways& fault) -> void;
  auto Apply(const ReloadGateway& fault) -> void;
  auto Apply(const KillGateway& fault) -> void;
  auto Apply(const PauseGateway& fault) -> void;
  auto Apply(const ResetGateway& fault) -> void;
  auto Apply(const HarmTarget& fault) -> void;
  auto Apply(const ReplaceTarget& fault) -> void;
  auto Apply(const StoreOutage& fault) -> void;
  auto Apply(const StoreReturn& fault) -> void;
  auto Apply(const EndWatches& fault) -> void;
  auto Apply(const CompactHistory& fault) -> void;
  auto Apply(const Burst& fault) -> void;
  auto Apply(const LoseKey& fault) -> void;
  auto Apply(const ChangeLimit& fault) -> void;

  const SoakSettings& settings_;
  Random& random_;
  PublishedStoreFleet& fleet_;
  GatewayWatch& gateways_;
  SoakStore& store_;
  Mailbox<CallerMessage>& callers_;
  std::multimap<TimePoint, std::function<void()>> steps_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_FAULT_PLAYER_H_
