// Tests of TargetPool under load: many gateways, targets that differ, and news
// of their load that is old or missing.
#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decision/gateway/target_pool.h"
#include "unit/decision/gateway/pool_fixture.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kSlots = 4;

// Returns targets in the failure domain of the gateways.
auto MakeNearTargets(std::size_t count) -> std::vector<RegisteredTarget> {
  return MakeTargets(count, kSlots, FailureDomainId("a"));
}

// Returns the pool of a gateway that owns all targets, or none.
auto MakePool(const std::vector<RegisteredTarget>& targets,
              bool owns,
              std::uint64_t seed = 1) -> TargetPool {
  TargetPool pool(Random(seed), 0.7);
  std::vector<PoolGateway> owners;
  if (!owns) {
    owners.push_back({VmId("owner"), FailureDomainId("a")});
  }
  pool.Configure(targets, FailureDomainId("a"), kStart, VmId("self"), owners);
  for (const auto& target : targets) {
    // All look healthy.
    pool.OnPeerReport(VmId("owner"), {{.target = target.id, .succeeded = 3}},
                      kStart);
  }
  return pool;
}

// An answer of `target` that states its load arrives.
auto State(TargetPool& pool,
           std::size_t target,
           std::uint32_t running,
           std::uint32_t waiting,
           TimePoint now,
           Duration run_time = milliseconds(100)) -> void {
  const auto id = MakeTargetId(target);
  pool.OnStarted(id, now);
  pool.OnAnswered(id, run_time, LoadNews{{running + 1, waiting, kSlots}, now},
                  false);
  pool.OnEnded(id, Evidence::kSucceeded, now);
}

}  // namespace

// Load: 64 gateways choose in the same moment with the same old news, by which
// one target is idle. Guards against overrunning it: with a choice of the least
// loaded, all 64 requests would go there.
Test(pool_load, many_gateways_with_old_news_choose_different_targets) {
  constexpr std::size_t kGateways = 64;
  const auto targets = MakeNearTargets(32);
  std::map<TargetId, std::size_t> chosen;
  for (std::size_t i = 0; i < kGateways; ++i) {
    auto pool = MakePool(targets, false, 1 + i);
    for (std::size_t t = 0; t < targets.size(); ++t) {
      State(pool, t, t == 7 ? 0 : 2, 0, kStart);
    }
    const auto target = pool.Choose({}, kStart + milliseconds(20));
    cr_assert(target.has_value());
    ++chosen[*target];
  }
  std::size_t most = 0;
  for (const auto& [target, count] : chosen) {
    most = std::max(most, count);
  }
  // Three draws of 32 targets find the idle one for six of 64 gateways.
  cr_assert_leq(most, 12U, "%zu of 64", most);
  cr_assert_geq(chosen.size(), 20U);
}

// Load: a service of many targets, of which this gateway has news of few.
// Guards against draws that miss the one that is known to be idle.
Test(pool_load, a_target_with_recent_news_is_considered_in_a_large_service) {
  const auto targets = MakeTargets(400);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto pool = MakePool(targets, false, seed);
    State(pool, 250, 0, 0, kStart);
    for (std::size_t t = 0; t < 12; ++t) {
      State(pool, t, kSlots, 0, kStart);
    }
    cr_assert(pool.Choose({}, kStart + milliseconds(10)) == MakeTargetId(250));
  }
}

// Load: requests to targets of which one runs four times as long. Guards
// against equal counts, which overrun the slow one while the other idles.
Test(pool_load, a_slow_target_gets_fewer_requests) {
  auto pool = MakePool(MakeNearTargets(2), true);
  const std::vector<Duration> run_times = {milliseconds(50), milliseconds(200)};
  std::vector<std::pair<TimePoint, std::size_t>> running;
  std::vector<std::size_t> sent(2);
  for (auto now = kStart; now < kStart + seconds(10); now += milliseconds(10)) {
    for (auto it = running.begin(); it != running.end();) {
      if (it->first > now) {
        ++it;
        continue;
      }
      const auto id = MakeTargetId(it->second);
      pool.OnAnswered(id, run_times[it->second], std::nullopt, false);
      pool.OnEnded(id, Evidence::kSucceeded, now);
      it = running.erase(it);
    }
    if ((now - kStart) % milliseconds(20) == Duration::zero()) {
      const auto target = pool.Choose({}, now);
      cr_assert(target.has_value());
      const std::size_t index = *target == MakeTargetId(0) ? 0 : 1;
      pool.OnStarted(*target, now);
      ++sent[index];
      running.emplace_back(now + run_times[index], index);
    }
  }
  cr_assert_geq(sent[0], 2 * sent[1], "%zu and %zu", sent[0], sent[1]);
  cr_assert_gt(sent[1], 0U);
}

// Load: targets at which other gateways' requests wait. Guards against sending
// more there while another target of the service has free slots.
Test(pool_load, a_target_that_stated_waiting_requests_gets_no_more) {
  auto pool = MakePool(MakeNearTargets(2), true);
  State(pool, 0, 4, 3, kStart);
  State(pool, 1, 1, 0, kStart);
  for (int i = 0; i < 3; ++i) {
    const auto target = pool.Choose({}, kStart);
    cr_assert(target == MakeTargetId(1));
    pool.OnStarted(*target, kStart);
  }
  cr_assert_not(pool.Choose({}, kStart).has_value());
}

// Load: news that stops. Guards against a target that stays unused because its
// last statement said that it was full.
Test(pool_load, a_full_target_without_further_news_is_used_again) {
  auto pool = MakePool(MakeNearTargets(1), true);
  State(pool, 0, 4, 0, kStart);
  cr_assert_not(pool.Choose({}, kStart).has_value());
  cr_assert(pool.Choose({}, kStart + milliseconds(100)).has_value());
}

// Load: a gateway with requests at a target is lost. Guards against slots that
// stay reserved for requests which no report will end.
Test(pool_load, the_requests_of_a_lost_gateway_age_away) {
  auto pool = MakePool(MakeNearTargets(1), true);
  State(pool, 0, 0, 0, kStart);
  pool.OnPeerReport(VmId("lost"),
                    {{.target = MakeTargetId(0), .in_flight = kSlots}},
                    kStart + milliseconds(1));
  cr_assert_not(pool.Choose({}, kStart + milliseconds(2)).has_value());
  // A statement is newer than the report.
  State(pool, 0, 1, 0, kStart + milliseconds(100));
  cr_assert(pool.Choose({}, kStart + milliseconds(100)).has_value());
}

// Load: a gateway whose own target is nearly full beside idle ones of others.
// Guards against callers that wait because their gateway owns few targets.
Test(pool_load, a_busy_owner_uses_idle_targets_of_others) {
  const auto targets = MakeNearTargets(8);
  const std::vector<PoolGateway> owners = {
      {VmId("self"), FailureDomainId("a")},
      {VmId("other"), FailureDomainId("a")}};
  TargetPool pool(Random(1), 0.7);
  pool.Configure(targets, FailureDomainId("a"), kStart, VmId("self"), owners);
  const auto owned = OwnedTargets(VmId("self"), targets, owners);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const bool is_owned = owned.contains(MakeTargetId(i));
    for (int answers = 0; answers < 3; ++answers) {
      State(pool, i, is_owned ? 3 : 0, 0, kStart);
    }
  }
  const auto later = kStart + milliseconds(20);
  const auto target = pool.Choose({}, later);
  cr_assert(target.has_value());
  cr_assert_not(owned.contains(*target));
  // Targets that failed lately are no choice.
  for (std::size_t i = 0; i < targets.size(); ++i) {
    if (!owned.contains(MakeTargetId(i))) {
      pool.OnEnded(MakeTargetId(i), Evidence::kFailed, later);
    }
  }
  const auto next = pool.Choose({}, later);
  cr_assert(next.has_value());
  cr_assert(owned.contains(*next));
}

}  // namespace flamingoyoke
