#ifndef FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_RUN_H_
#define FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_RUN_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "core/random.h"
#include "integration/soak/caller_task.h"
#include "integration/soak/fault.h"
#include "integration/support/published_fleet.h"
#include "runtime/clock.h"
#include "runtime/mailbox.h"
#include "runtime/task_host.h"

namespace flamingoyoke::integration {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kTargets = 5;
constexpr int kServiceMs = 20;
constexpr int kEpisodes = 2;
constexpr auto kStormTime = seconds(4);

// Bounds of the users' pages: a change is in force, and a target that left gets
// no more requests, this long after the store acknowledged it, at gateways that
// have been undisturbed for kInTouchTime.
constexpr auto kApplyTime = seconds(2);
constexpr auto kInTouchTime = milliseconds(3500);
// A request that took this long may have reached its deadline.
constexpr auto kLongCall = seconds(2);
// A process may not have set its signal handlers before.
constexpr auto kStartTime = seconds(1);

constexpr int kNotFound = 404;

// One run of a fleet of real processes under random faults. Storms of
// overlapping faults alternate with calm times, in which the bounds on changes
// and on targets that leave are checked while connections to the store fail.
class Soak {
 public:
  Soak(std::uint64_t seed, std::size_t gateways)
      : seed_(seed),
        random_(seed),
        fleet_(kTargets, kServiceMs, gateways),
        gateways_(gateways),
        ended_(1 << 20),
        callers_("callers", caller_mailbox_, [this] { return MakeCallers(); }) {
  }

  // Returns the promises that were broken.
  auto Run() -> std::vector<std::string> {
    fleet_.WaitForAll();
    start_ = Now();
    callers_.Start([](const std::optional<Error>&) {});
    for (int i = 0; i < kEpisodes; ++i) {
      PlayStorm();
      PlayCalm(i);
    }
    callers_.RequestStop(StopMode::kGraceful);
    callers_.Join();
    CheckCalls();
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      fleet_.gateway(i).Signal(SIGTERM);
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (const auto code = fleet_.gateway(i).WaitForExit(seconds(20))) {
        Report("gateway " + std::to_string(i) + " ended with code " +
               std::to_string(code));
      }
    }
    if (!broken_.empty()) {
      KeepLogs();
    }
    return std::move(broken_);
  }

 private:
  struct Gateway {
    TimePoint started = Now();
    bool is_stopping = false;
    bool is_killed = false;
    bool is_paused = false;
    // When the process was killed or stood still.
    std::vector<Interval> harmed;
  };

  auto MakeCallers() -> std::unique_ptr<CallerTask> {
    std::vector<NamedEndpoint> fronts;
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      fronts.push_back(fleet_.FrontOf(i));
    }
    return std::make_unique<CallerTask>(std::move(fronts), seed_, ended_);
  }

  auto Report(const std::string& what) -> void {
    broken_.push_back("seed " + std::to_string(seed_) + " at " +
                      std::to_string(ToMilliseconds(Now() - start_)) +
                      " ms: " + what);
    std::puts(broken_.back().c_str());
  }

  auto RandomTime(std::uint64_t min_ms, std::uint64_t max_ms) -> Duration {
    return milliseconds(min_ms + random_.Below(max_ms - min_ms));
  }

  auto After(Duration delay, std::function<void()> action) -> void {
    actions_.emplace(Now() + delay, std::move(action));
  }

  // Runs due actions and restarts processes that have ended.
  auto Tick() -> void {
    while (!actions_.empty() && actions_.begin()->first <= Now()) {
      auto node = actions_.extract(actions_.begin());
      node.mapped()();
    }
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      if (!fleet_.gateway(i).IsRunning()) {
        OnEnded(i);
      }
    }
  }

  auto WaitUntilTime(TimePoint end) -> void {
    while (Now() < end) {
      Tick();
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  auto OnEnded(std::size_t index) -> void {
    auto& gateway = gateways_[index];
    const auto code = fleet_.gateway(index).WaitForExit(seconds(1));
    const bool is_early =
        code == -SIGTERM && Now() - gateway.started < kStartTime;
    if (!gateway.is_killed &&
        (!gateway.is_stopping || (code != 0 && !is_early))) {
      Report("gateway " + std::to_string(index) + " ended with code " +
             std::to_string(code) +
             (gateway.is_stopping ? " after SIGTERM" : " by itself"));
    }
    auto harmed = std::move(gateway.harmed);
    gateway = {.harmed = std::move(harmed)};
    fleet_.StartGateway(index);
  }

  auto PickFault() -> Fault {
    const auto gateway = random_.Below(gateways_.size());
    switch (random_.Below(10)) {
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
        return HarmTarget{random_.Below(kTargets),
                          static_cast<standin::TargetMode>(
                              random_.Below(kEnumSize<standin::TargetMode>)),
                          RandomTime(100, 2000)};
      case 7:
        return StoreOutage{RandomTime(100, 3000)};
      case 8:
        return EndWatches{PickEnd()};
      default:
        return CompactHistory{};
    }
  }

  auto PickSignals() -> std::vector<int> {
    std::vector<int> signals;
    constexpr std::array<int, 3> kSignals = {SIGTERM, SIGHUP, SIGINT};
    for (auto count = random_.Below(3); count > 0; --count) {
      signals.push_back(kSignals.at(random_.Below(kSignals.size())));
    }
    return signals;
  }

  auto PickEnd() -> std::string {
    constexpr std::array<const char*, 3> kEnds = {"cut", "reset", "silent"};
    return kEnds.at(random_.Below(kEnds.size()));
  }

  auto Apply(const StopGateway& fault) -> void {
    if (!fleet_.gateway(fault.gateway).IsRunning()) {
      return;
    }
    gateways_[fault.gateway].is_stopping = true;
    fleet_.gateway(fault.gateway).Signal(SIGTERM);
    Duration delay = Duration::zero();
    for (const auto signal : fault.then) {
      delay += milliseconds(50);
      After(delay, [this, fault, signal] {
        if (gateways_[fault.gateway].is_stopping) {
          SignalIfRunning(fault.gateway, signal);
        }
      });
    }
  }
  auto Apply(const ReloadGateway& fault) -> void {
    SignalIfRunning(fault.gateway, SIGHUP);
  }
  auto Apply(const KillGateway& fault) -> void {
    auto& gateway = gateways_[fault.gateway];
    gateway.is_killed = true;
    gateway.harmed.push_back({Now(), Now() + milliseconds(100)});
    SignalIfRunning(fault.gateway, SIGKILL);
  }
  auto Apply(const PauseGateway& fault) -> void {
    auto& gateway = gateways_[fault.gateway];
    if (std::exchange(gateway.is_paused, true)) {
      return;
    }
    const auto start = Now();
    SignalIfRunning(fault.gateway, SIGSTOP);
    After(fault.length, [this, fault, start] {
      auto& paused = gateways_[fault.gateway];
      if (std::exchange(paused.is_paused, false)) {
        SignalIfRunning(fault.gateway, SIGCONT);
      }
      paused.harmed.push_back({start, Now() + seconds(1)});
    });
  }
  auto Apply(const HarmTarget& fault) -> void {
    const auto set = [this](std::size_t target, standin::TargetMode mode) {
      fleet_.target(target).SetMode(fleet_.http(), std::string(ToName(mode)));
    };
    const auto start = Now();
    set(fault.target, fault.mode);
    After(fault.length, [this, set, fault, start] {
      set(fault.target, standin::TargetMode::kNormal);
      targets_harmed_.push_back({start, Now()});
    });
  }
  auto Apply(const StoreOutage& fault) -> void {
    fleet_.SendToStore("PUT", "/control/mode?down=1");
    After(fault.length,
          [this] { fleet_.SendToStore("PUT", "/control/mode?down=0"); });
  }
  auto Apply(const EndWatches& fault) -> void {
    fleet_.EndAllWatches(fault.end);
  }
  auto Apply(const CompactHistory& /*fault*/) -> void {
    fleet_.SendToStore("PUT", "/control/compact");
  }

  auto SignalIfRunning(std::size_t gateway, int signal) -> void {
    if (fleet_.gateway(gateway).IsRunning()) {
      fleet_.gateway(gateway).Signal(signal);
    }
  }

  auto PlayStorm() -> void {
    const auto end = Now() + kStormTime;
    while (Now() < end) {
      std::visit([this](const auto& fault) { Apply(fault); }, PickFault());
      WaitUntilTime(Now() + RandomTime(20, 500));
    }
    while (!actions_.empty()) {
      WaitUntilTime(Now() + milliseconds(20));
    }
    const auto is_stopping = [](const Gateway& each) {
      return each.is_stopping || each.is_killed;
    };
    while (std::any_of(gateways_.begin(), gateways_.end(), is_stopping)) {
      WaitUntilTime(Now() + milliseconds(20));
    }
    fleet_.WaitForAll();
  }

  auto PlayCalm(int episode) -> void {
    WaitUntilTime(Now() + kInTouchTime);
    const auto target = random_.Below(kTargets);
    const bool is_removed = random_.Below(2) == 0;
    const bool has_compacted = random_.Below(3) == 0;
    const auto path = "/new-" + std::to_string(episode) + "/";
    const auto end = PickEnd();
    if (has_compacted) {
      fleet_.SendToStore("PUT", "/control/lists?cut=1");
    }
    fleet_.EndAllWatches(end);
    if (is_removed) {
      fleet_.Unregister(target, has_compacted ? "&compact=1" : "");
    } else {
      Register(target, "draining");
    }
    routes_.push_back(path);
    fleet_.PublishRoutes("r" + std::to_string(10 * (episode + 1)), routes_);
    const auto acknowledged = Now();
    if (has_compacted) {
      fleet_.EndAllWatches("cut");
      fleet_.SendToStore("PUT", "/control/lists?cut=0");
    }
    WaitUntilTime(acknowledged + kApplyTime);
    const auto before = RunsOf(target);
    CheckRoute(path, end);
    WaitUntilTime(Now() + seconds(1));
    if (const auto late = RunsOf(target) - before; late > 0) {
      Report("DRAIN: " + std::to_string(late) + " requests to target " +
             std::to_string(target) +
             (is_removed ? ", which was removed" : ", which drains") +
             ", after the watches ended as " + end);
    }
    ++target_start_;
    Register(target, "ready");
  }

  // Checks that all gateways serve a route that was added, after the watches
  // ended as `end`.
  auto CheckRoute(const std::string& path, const std::string& end) -> void {
    const auto failure =
        "has no route " + path + " after the watches ended as " + end;
    const auto target = path + "1";
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
      auto id = path;
      id += std::to_string(i);
      if (fleet_.Call(i, target, id).status == kNotFound) {
        Report("CONFIG: gateway " + std::to_string(i) + " " + failure);
      }
    }
  }

  auto Register(std::size_t target, const std::string& state) -> void {
    ++sequence_;
    fleet_.RegisterText(fleet_.target(target).id(),
                        fleet_.target(target).RegistrationJson(
                            state, target_start_, sequence_));
  }

  auto RunsOf(std::size_t target) -> int {
    return fleet_.target(target).Counters(fleet_.http())["runs"];
  }

  static auto Overlaps(const Interval& a, const Interval& b) -> bool {
    return a.start < b.end && b.start < a.end;
  }
  static auto OverlapsAny(const Interval& time,
                          const std::vector<Interval>& others) -> bool {
    return std::any_of(
        others.begin(), others.end(),
        [&](const Interval& other) { return Overlaps(time, other); });
  }

  auto CheckCalls() -> void {
    std::map<std::string, int> runs;
    for (std::size_t i = 0; i < fleet_.targets(); ++i) {
      const auto counters = fleet_.target(i).Counters(fleet_.http());
      for (const auto& [id, count] : counters.at("by_id").items()) {
        runs[id] += count.get<int>();
      }
    }
    int served = 0;
    int calls = 0;
    for (const auto& message : ended_.TakeAll()) {
      const auto& call = std::get<EndedCall>(message);
      ++calls;
      served += call.status == 200 ? 1 : 0;
      CheckCall(call, runs[call.id]);
    }
    printf("soak: seed %lu: %d of %d calls served\n",
           static_cast<unsigned long>(seed_), served, calls);
    if (served * 4 < calls) {
      Report("RECOVER: only " + std::to_string(served) + " of " +
             std::to_string(calls) + " calls were served");
    }
  }

  auto CheckCall(const EndedCall& call, int runs) -> void {
    const auto describe = [&](const std::string& what) {
      Report(what + ": call " + call.id + " to gateway " +
             std::to_string(call.gateway) + ", sent at " +
             std::to_string(ToMilliseconds(call.time.start - start_)) +
             " ms, status " + std::to_string(call.status) + ", ended at " +
             std::to_string(ToMilliseconds(call.time.end - start_)) +
             " ms, ran " + std::to_string(runs) + " times");
    };
    const bool is_success = call.status >= 200 && call.status < 300;
    if (is_success && !call.is_right) {
      describe("MIXED");
    }
    if (!call.is_repeatable && runs > 1) {
      describe("TWICE");
    }
    const bool says_not_run = call.status == 429 || call.status == 503 ||
                              call.status == 408 || call.status == 421;
    if (!call.is_repeatable && says_not_run && runs > 0) {
      describe("REFUSED");
    }
    if (!is_success && !says_not_run && runs > 0 &&
        call.time.end - call.time.start < kLongCall &&
        !OverlapsAny(call.time, gateways_[call.gateway].harmed) &&
        !OverlapsAny(call.time, targets_harmed_)) {
      describe("LOST");
    }
  }

  // Keeps the logs of the gateways for a trace.
  auto KeepLogs() -> void {
    const auto kept = fleet_.folder() + "-seed-" + std::to_string(seed_);
    std::filesystem::copy(fleet_.folder(), kept);
    broken_.push_back("logs: " + kept);
  }

  const std::uint64_t seed_;
  Random random_;
  PublishedStoreFleet fleet_;
  std::vector<Gateway> gateways_;
  std::vector<Interval> targets_harmed_;
  std::multimap<TimePoint, std::function<void()>> actions_;
  std::vector<std::string> routes_ = {"/book/"};
  int target_start_ = 1001;
  int sequence_ = 1;
  TimePoint start_ = Now();
  std::vector<std::string> broken_;
  Mailbox<CallMessage> ended_;
  Mailbox<standin::StandinMessage> caller_mailbox_{1};
  TaskHost<CallerTask> callers_;
};

}  // namespace flamingoyoke::integration

#endif  // FLAMINGOYOKE_TESTS_INTEGRATION_SOAK_SOAK_RUN_H_
