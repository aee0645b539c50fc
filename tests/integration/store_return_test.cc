#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "integration/support/published_fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

TestSuite(store_return_fleet, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::size_t kGatewayCount = PublishedStoreFleet::kDefaultGateways;
// Targets 0 and 1 serve from the start; these register after the copy was taken
// and after the return.
constexpr std::size_t kLate = 2;
constexpr std::size_t kAdded = 3;
constexpr auto kWriteAgainDelay = milliseconds(200);
// Bounds on changes hold once the store has been back for the stable window.
constexpr auto kBound = seconds(2);
constexpr auto kStableWindow = seconds(3);
// Live targets that a reader misses after its start have registered again by
// then.
constexpr auto kSettleTime = milliseconds(3500);

auto RunsOf(PublishedStoreFleet& fleet, std::size_t target) -> int {
  return fleet.target(target).Counters(fleet.http())["runs"];
}

// A fleet whose store returns from copies. Not thread-safe.
class ReturnRig {
 public:
  // Starts a fleet, of which the targets `unregistered` are not registered, and
  // takes a copy of the store.
  explicit ReturnRig(
      const FleetSize& size = {.targets = {{"orders", kAdded + 1}}},
      const std::vector<std::size_t>& unregistered = {kLate, kAdded})
      : fleet_(size) {
    for (const auto target : unregistered) {
      fleet_.Unregister(target);
    }
    fleet_.PublishRoutes("r4", {"/book/"});
    for (std::size_t i = 0; i < kGatewayCount; ++i) {
      fleet_.StartGateway(i);
    }
    fleet_.WaitForAll();
    std::this_thread::sleep_for(kSettleTime);
    fleet_.SendToStore("PUT", "/control/copy");
  }

  // Lets the store go away and return.
  auto StartReturn(milliseconds away) -> void {
    fleet_.ReturnStore(away);
    back_ = steady_clock::now() + away;
  }
  auto Return(milliseconds away) -> void {
    StartReturn(away);
    std::this_thread::sleep_until(back_);
  }
  auto ReturnAndWriteAgain(milliseconds away) -> void {
    Return(away);
    std::this_thread::sleep_until(back_ + kWriteAgainDelay);
    fleet_.WriteAgain();
  }

  // Raises the revision of the store and then that of the registry.
  auto Advance(int count) -> void {
    for (int i = 0; i < count; ++i) {
      fleet_.Heartbeat(1);
    }
    fleet_.Register(kLate, "ready");
    std::this_thread::sleep_for(seconds(1));
  }

  // Removes target 0, adds another one and publishes a route.
  auto Change() -> void {
    fleet_.Unregister(0);
    fleet_.Register(kAdded, "ready");
    fleet_.PublishRoutes("r9", {"/book/", "/new/"});
    changed_ = steady_clock::now();
  }

  // Checks that Change() is in force at all gateways when its bound is over.
  auto ExpectChanged() -> void {
    std::this_thread::sleep_until(
        std::max(changed_ + kBound, back_ + kStableWindow));
    const auto removed = RunsOf(fleet_, 0);
    const auto added = RunsOf(fleet_, kAdded);
    for (std::size_t i = 0; i < kGatewayCount; ++i) {
      Call(i, 30);
      cr_expect_eq(fleet_.Call(i, "/new/1", NextId()).status, kOk,
                   "gateway %zu has no new route", i);
    }
    cr_expect_gt(RunsOf(fleet_, kAdded), added,
                 "no request to the added target");
    // A gateway prefers the targets that it owns; without others, all must use
    // the added one.
    fleet_.Unregister(1);
    fleet_.Unregister(kLate);
    std::this_thread::sleep_for(kBound);
    for (std::size_t i = 0; i < kGatewayCount; ++i) {
      const auto before = RunsOf(fleet_, kAdded);
      const auto failed = Call(i, 5);
      cr_expect_eq(failed, 0, "gateway %zu: %d requests failed", i, failed);
      cr_expect_eq(RunsOf(fleet_, kAdded), before + 5, "gateway %zu", i);
    }
    cr_expect_eq(RunsOf(fleet_, 0), removed,
                 "%d requests to the removed target",
                 RunsOf(fleet_, 0) - removed);
  }

  // Sends requests to a gateway. Returns how many were not served.
  auto Call(std::size_t gateway, int count) -> int {
    int failed = 0;
    for (int i = 0; i < count; ++i) {
      const auto answer = fleet_.Call(gateway, "/look/1", NextId(), "GET");
      failed += answer.status == kOk ? 0 : 1;
    }
    return failed;
  }
  // Sends requests to all gateways in turn until `end`.
  auto CallUntil(steady_clock::time_point end) -> int {
    int failed = 0;
    for (std::size_t i = 0; steady_clock::now() < end; ++i) {
      failed += Call(i % kGatewayCount, 1);
    }
    return failed;
  }

  // Returns how many lines of a gateway's log match.
  auto CountLines(std::size_t gateway,
                  const std::function<bool(const std::string&)>& matches)
      -> int {
    std::ifstream log(fleet_.folder() + "/gateway-" + std::to_string(gateway) +
                      ".log");
    int count = 0;
    for (std::string line; std::getline(log, line);) {
      count += matches(line) ? 1 : 0;
    }
    return count;
  }

  auto NextId() -> std::string { return "call-" + std::to_string(++calls_); }
  auto fleet() -> PublishedStoreFleet& { return fleet_; }
  [[nodiscard]] auto back() const -> steady_clock::time_point { return back_; }

 private:
  PublishedStoreFleet fleet_;
  steady_clock::time_point back_;
  steady_clock::time_point changed_;
  int calls_ = 0;
};

auto Contains(const std::string& line, const std::string& text) -> bool {
  return line.find(text) != std::string::npos;
}

}  // namespace

// Guards against changes that are ignored until revisions pass the old one.
Test(store_return_fleet, revision_behind_hides_later_changes) {
  ReturnRig rig;
  rig.Advance(40);
  rig.ReturnAndWriteAgain(seconds(1));
  std::this_thread::sleep_until(rig.back() + kStableWindow);
  rig.Change();
  rig.ExpectChanged();
}

// Guards against a watch that continues in a later era and skips a removal.
Test(store_return_fleet, revision_given_out_again_hides_a_removal) {
  ReturnRig rig;
  rig.Advance(40);
  const auto revision = [&] {
    return rig.fleet().StoreCounters().at("revision").get<int>();
  };
  const auto old = revision();
  rig.StartReturn(seconds(1));
  rig.Change();
  while (revision() <= old) {
    rig.fleet().Heartbeat(1);
  }
  rig.ExpectChanged();
}

// Guards against a second return that is taken for the first.
Test(store_return_fleet, second_return_hides_later_changes) {
  ReturnRig rig;
  rig.Advance(200);
  rig.ReturnAndWriteAgain(milliseconds(300));
  std::this_thread::sleep_for(milliseconds(300));
  rig.ReturnAndWriteAgain(milliseconds(300));
  std::this_thread::sleep_until(rig.back() + kStableWindow);
  rig.Change();
  rig.ExpectChanged();
}

// Returns the store from a copy in which target 0 is still ready, after it
// `leave`s. Its entry isn't written again.
auto ExpectStaysAway(const std::function<void(PublishedStoreFleet&)>& leave)
    -> void {
  ReturnRig rig;
  auto& fleet = rig.fleet();
  leave(fleet);
  std::this_thread::sleep_for(kBound);
  const auto before = RunsOf(fleet, 0);
  rig.Return(milliseconds(500));
  rig.CallUntil(rig.back() + kWriteAgainDelay);
  fleet.Heartbeat(1);
  fleet.Register(kAdded, "ready");
  rig.CallUntil(rig.back() + kStableWindow + kBound);
  cr_expect_eq(RunsOf(fleet, 0), before, "%d requests to the target that left",
               RunsOf(fleet, 0) - before);
  cr_expect_gt(RunsOf(fleet, kAdded), 0);
  fleet.RegisterText("i-0", fleet.target(0).RegistrationJson("ready", 2000));
  rig.CallUntil(steady_clock::now() + kBound);
  cr_expect_gt(RunsOf(fleet, 0), before, "its next start gets no request");
}

// Guards against requests to a target whose removal the copy lacks.
Test(store_return_fleet, removed_target_is_restored_from_the_copy) {
  ExpectStaysAway([](PublishedStoreFleet& fleet) { fleet.Unregister(0); });
}

// Guards against requests to a draining target that the copy has as ready.
Test(store_return_fleet, draining_target_is_restored_from_the_copy) {
  ExpectStaysAway([](PublishedStoreFleet& fleet) {
    fleet.RegisterText("i-0",
                       fleet.target(0).RegistrationJson("draining", 1000, 2));
  });
}

// Guards against requests that fail because the copy lacks their only target.
Test(store_return_fleet, target_missing_in_the_copy_is_dropped) {
  ReturnRig rig({.targets = {{"orders", 1}, {"other", 1}}}, {0});
  auto& fleet = rig.fleet();
  fleet.Register(0, "ready");
  for (std::size_t i = 0; i < kGatewayCount; ++i) {
    cr_assert(WaitUntil([&] { return rig.Call(i, 1) == 0; }, kFleetTimeout));
  }
  rig.Return(milliseconds(500));
  int failed = rig.CallUntil(rig.back() + kWriteAgainDelay);
  fleet.WriteAgain();
  failed += rig.CallUntil(rig.back() + kStableWindow + kBound);
  cr_expect_eq(failed, 0, "%d requests failed", failed);
}

// Guards against a configuration that goes back to the version of the copy.
Test(store_return_fleet, configuration_goes_back_to_the_copy) {
  ReturnRig rig;
  rig.fleet().PublishRoutes("r9", {"/book/", "/new/"});
  std::this_thread::sleep_for(kBound);
  rig.Return(milliseconds(500));
  rig.CallUntil(rig.back() + kStableWindow);
  int lines = 0;
  for (std::size_t i = 0; i < kGatewayCount; ++i) {
    cr_expect_eq(rig.fleet().Call(i, "/new/1", rig.NextId()).status, kOk,
                 "gateway %zu", i);
    lines += rig.CountLines(i, [](const std::string& line) {
      return Contains(line, "kept configuration 9") &&
             Contains(line, "version 4 in era 2");
    });
  }
  cr_expect_gt(lines, 0, "the log doesn't say which version is kept");
}

// Guards against answers of another era that take effect, and against a log
// that they fill.
Test(store_return_fleet, answers_of_an_odd_era_take_effect) {
  ReturnRig rig;
  auto& fleet = rig.fleet();
  const auto is_refusal = [](const std::string& line) {
    return Contains(line, "the store is unavailable: ") &&
           Contains(line, " era ");
  };
  int refusals = 0;
  for (const std::string era : {"0", "-1", "2x", "99999999999999999999", ""}) {
    fleet.SendToStore("PUT", "/control/era?value=" + era);
    rig.Change();
    std::this_thread::sleep_for(kBound);
    const auto removed = RunsOf(fleet, 0);
    const auto added = RunsOf(fleet, kAdded);
    rig.CallUntil(steady_clock::now() + milliseconds(500));
    cr_expect_gt(RunsOf(fleet, 0), removed, "era %s", era.c_str());
    cr_expect_eq(RunsOf(fleet, kAdded), added, "era %s", era.c_str());
    cr_expect_eq(fleet.Call(0, "/new/1", rig.NextId()).status, kNotFound,
                 "era %s", era.c_str());
    // Undoes the change before the store names its own era again.
    fleet.RegisterText("i-0", fleet.target(0).RegistrationJson("ready", 1000));
    fleet.Unregister(kAdded);
    fleet.PublishRoutes("r4", {"/book/"});
    fleet.SendToStore("PUT", "/control/era");
    std::this_thread::sleep_for(kStableWindow);
    int lines = 0;
    for (std::size_t i = 0; i < kGatewayCount; ++i) {
      lines += rig.CountLines(i, is_refusal);
    }
    cr_expect_gt(lines, refusals, "era %s: no line", era.c_str());
    cr_expect_leq(lines - refusals, static_cast<int>(kGatewayCount),
                  "era %s: %d lines", era.c_str(), lines - refusals);
    refusals = lines;
  }
  rig.Change();
  rig.ExpectChanged();
}

// Guards against a VM that starts or sleeps over a return and spreads, or
// keeps, the registry of before.
Test(store_return_fleet, absent_gateways_keep_the_old_registry) {
  ReturnRig rig;
  auto& fleet = rig.fleet();
  rig.Advance(40);
  fleet.gateway(1).Signal(SIGKILL);
  fleet.gateway(1).WaitForExit(seconds(20));
  fleet.gateway(2).Signal(SIGSTOP);
  rig.StartReturn(seconds(1));
  fleet.StartGateway(1);
  std::this_thread::sleep_until(rig.back() + kWriteAgainDelay);
  fleet.WriteAgain();
  rig.Change();
  std::this_thread::sleep_for(seconds(1));
  fleet.gateway(2).Signal(SIGCONT);
  fleet.WaitForAll();
  std::this_thread::sleep_for(kSettleTime);
  rig.ExpectChanged();
}

}  // namespace flamingoyoke::integration
