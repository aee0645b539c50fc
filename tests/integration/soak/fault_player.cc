#include "integration/soak/fault_player.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <utility>

#include "runtime/clock.h"

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;

constexpr auto kSignalGap = milliseconds(50);
constexpr double kBurstFactor = 1.7;
// Faults are picked in proportion to their weights.
constexpr std::uint64_t kFaultWeights = 15;
// The operator and the targets notice after this time that the store returned
// from a copy.
constexpr auto kWriteAgainDelay = milliseconds(200);
// The fleet uses the last registry before a return for this time.
constexpr auto kLastChange = milliseconds(500);
// Between the returns of a series.
constexpr auto kReturnGap = milliseconds(500);

}  // namespace

FaultPlayer::FaultPlayer(const SoakSettings& settings,
                         Random& random,
                         PublishedStoreFleet& fleet,
                         GatewayWatch& gateways,
                         SoakStore& store,
                         Mailbox<CallerMessage>& callers)
    : settings_(settings),
      random_(random),
      fleet_(fleet),
      gateways_(gateways),
      store_(store),
      callers_(callers) {}

auto FaultPlayer::PlayRandom() -> void {
  Play(PickFault());
}

auto FaultPlayer::Play(const Fault& fault) -> void {
  std::visit([this](const auto& each) { Apply(each); }, fault);
}

auto FaultPlayer::Tick() -> void {
  while (!steps_.empty() && steps_.begin()->first <= Now()) {
    auto node = steps_.extract(steps_.begin());
    node.mapped()();
  }
}

auto FaultPlayer::RandomTime(std::uint64_t min_ms, std::uint64_t max_ms)
    -> Duration {
  return milliseconds(min_ms + random_.Below(max_ms - min_ms));
}

auto FaultPlayer::PickWatchEnd() -> std::string {
  constexpr std::array<const char*, 3> kEnds = {"cut", "reset", "silent"};
  return kEnds.at(random_.Below(kEnds.size()));
}

auto FaultPlayer::PickStoreReturn() -> StoreReturn {
  return {.target = random_.Below(fleet_.targets()),
          .lost_heartbeats = random_.Below(200),
          .age = RandomTime(1000, 4000),
          .away = RandomTime(100, 1000),
          .returns = 1 + random_.Below(2)};
}

auto FaultPlayer::PickRoll() -> RollGateways {
  RollGateways roll{.gateways = {}, .gap = RandomTime(100, 2000)};
  const auto count = static_cast<std::size_t>(
      settings_.roll_share * static_cast<double>(gateways_.started()));
  const auto first = random_.Below(gateways_.started());
  for (std::size_t i = 0; i < count; ++i) {
    roll.gateways.push_back((first + i) % gateways_.started());
  }
  return roll;
}

auto FaultPlayer::PickHarm() -> HarmTarget {
  return {random_.Below(fleet_.targets()),
          static_cast<standin::TargetMode>(
              1 + random_.Below(kEnumSize<standin::TargetMode> - 1)),
          RandomTime(100, 2000)};
}

auto FaultPlayer::PickKeyLoss() -> LoseKey {
  const auto& team = settings_.teams[random_.Below(settings_.teams.size())];
  return {team.keys[random_.Below(team.keys.size())], RandomTime(500, 4000)};
}

auto FaultPlayer::PickLimit(std::size_t team) -> ChangeLimit {
  constexpr std::array<double, 3> kFactors = {0.5, 1, 1.5};
  return {team, kFactors.at(random_.Below(kFactors.size()))};
}

auto FaultPlayer::PickFault() -> Fault {
  const auto gateway = random_.Below(gateways_.started());
  switch (random_.Below(kFaultWeights)) {
    case 0:
    case 1:
      return StopGateway{gateway, PickSignals()};
    case 2:
      return ReloadGateway{gateway};
    case 3:
      return KillGateway{gateway};
    case 4:
      return PauseGateway{gateway, RandomTime(50, 2500)};
    case 5:
    case 6:
      return PickHarm();
    case 7:
      return StoreOutage{RandomTime(100, 3000)};
    case 8:
      return EndWatches{PickWatchEnd()};
    case 9:
      return ResetGateway{gateway};
    case 10:
      return ReplaceTarget{random_.Below(fleet_.targets()),
                           RandomTime(2000, 4000)};
    case 11:
      return PickRoll();
    case 12:
      return Burst{RandomTime(500, 3000)};
    case 13:
      return PickStoreReturn();
    default:
      return CompactHistory{};
  }
}

auto FaultPlayer::PickSignals() -> std::vector<int> {
  std::vector<int> signals;
  constexpr std::array<int, 3> kSignals = {SIGTERM, SIGHUP, SIGINT};
  for (auto count = random_.Below(3); count > 0; --count) {
    signals.push_back(kSignals.at(random_.Below(kSignals.size())));
  }
  return signals;
}

auto FaultPlayer::After(Duration delay, std::function<void()> step) -> void {
  steps_.emplace(Now() + delay, std::move(step));
}

auto FaultPlayer::Apply(const StopGateway& fault) -> void {
  gateways_.Stop(fault.gateway);
  Duration delay = Duration::zero();
  for (const auto signal : fault.then) {
    delay += kSignalGap;
    After(delay, [this, fault, signal] {
      gateways_.SignalStopping(fault.gateway, signal);
    });
  }
}

auto FaultPlayer::Apply(const RollGateways& fault) -> void {
  Duration delay = Duration::zero();
  for (const auto gateway : fault.gateways) {
    After(delay, [this, gateway] { gateways_.Stop(gateway); });
    delay += fault.gap;
  }
}

auto FaultPlayer::Apply(const ReloadGateway& fault) -> void {
  gateways_.Reload(fault.gateway);
}

auto FaultPlayer::Apply(const KillGateway& fault) -> void {
  gateways_.Kill(fault.gateway);
}

auto FaultPlayer::Apply(const PauseGateway& fault) -> void {
  gateways_.Pause(fault.gateway);
  After(fault.length, [this, fault] { gateways_.Resume(fault.gateway); });
}

auto FaultPlayer::Apply(const ResetGateway& fault) -> void {
  const auto start = Now();
  callers_.Post(ResetCallers{fault.gateway});
  gateways_.MarkHarmed(fault.gateway, start);
}

auto FaultPlayer::Apply(const HarmTarget& fault) -> void {
  const auto set = [this, fault](standin::TargetMode mode) {
    fleet_.target(fault.target)
        .SetMode(fleet_.http(), std::string(ToName(mode)));
  };
  set(fault.mode);
  After(fault.length, [set] { set(standin::TargetMode::kNormal); });
}

auto FaultPlayer::Apply(const ReplaceTarget& fault) -> void {
  store_.Register(fault.target, "draining");
  store_.AddIdleRoutes(settings_.grown_routes);
  After(fault.length,
        [this, fault] { store_.Register(fault.target, "ready"); });
}

auto FaultPlayer::Apply(const StoreOutage& fault) -> void {
  fleet_.SendToStore("PUT", "/control/mode?down=1");
  After(fault.length, [this, start = Now()] {
    fleet_.SendToStore("PUT", "/control/mode?down=0");
    store_.MarkAway({start, Now()});
  });
}

auto FaultPlayer::Apply(const StoreReturn& fault) -> void {
  fleet_.SendToStore("PUT", "/control/copy");
  After(fault.age - kLastChange, [this, fault] {
    store_.SendHeartbeats(fault.lost_heartbeats);
    store_.Register(fault.target, "ready");
  });
  Duration delay = fault.age;
  for (std::size_t i = 0; i < fault.returns; ++i) {
    After(delay, [this, fault] {
      fleet_.ReturnStore(std::chrono::duration_cast<milliseconds>(fault.away));
      // Until it has the changes that it lost.
      store_.MarkAway({Now(), Now() + fault.away + kWriteAgainDelay});
    });
    delay += fault.away;
    After(delay + kWriteAgainDelay, [this] { store_.WriteAgain(); });
    delay += kReturnGap;
  }
}

auto FaultPlayer::Apply(const EndWatches& fault) -> void {
  fleet_.EndAllWatches(fault.end);
}

auto FaultPlayer::Apply(const CompactHistory& /*fault*/) -> void {
  fleet_.SendToStore("PUT", "/control/compact");
}

auto FaultPlayer::Apply(const Burst& fault) -> void {
  callers_.Post(SetRate{kBurstFactor});
  After(fault.length, [this] { callers_.Post(SetRate{1}); });
}

auto FaultPlayer::Apply(const LoseKey& fault) -> void {
  store_.TakeKey(fault.key);
  After(fault.length, [this, fault] { store_.GiveKeyBack(fault.key); });
}

auto FaultPlayer::Apply(const ChangeLimit& fault) -> void {
  store_.ChangeLimit(fault.team, fault.factor);
}

}  // namespace flamingoyoke::integration
