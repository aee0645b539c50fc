#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "decision/quota/quota_timing.h"
#include "unit/decision/quota/fake_quota_fleet.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kGateways = 10;
const std::string kTeam = "team";

auto Allowed(const TeamQuota& quota) -> double {
  return (static_cast<double>(quota.requests_per_second) * 5 +
          static_cast<double>(quota.burst)) *
             1.25 +
         20;
}

// A fleet whose keepers have settled, with one team.
auto MakeFleet(const TeamQuota& quota, std::uint64_t seed = 1)
    -> std::unique_ptr<FakeQuotaFleet> {
  auto fleet = std::make_unique<FakeQuotaFleet>(
      FakeQuotaFleet::Options{.gateways = kGateways, .seed = seed});
  fleet->RunFor(seconds(5));
  fleet->SetLimits({{kTeam, quota}});
  return fleet;
}

auto CheckWindow(FakeQuotaFleet& fleet,
                 const TeamQuota& quota,
                 const char* what,
                 TimePoint from = {}) -> void {
  cr_assert_leq(static_cast<double>(fleet.MaxInWindow(kTeam, from)),
                Allowed(quota), "%s: %zu requests of team %s in 5 s", what,
                fleet.MaxInWindow(kTeam, from), kTeam.c_str());
}

// Runs the callers at their usual rate until gateways have their leases.
auto WarmUp(FakeQuotaFleet& fleet, double rate) -> void {
  fleet.SetLoad(kTeam, rate, fleet.All());
  fleet.RunFor(seconds(20));
  fleet.ResetCounts();
}

const std::vector<TeamQuota> kQuotas = {{5, 5}, {20, 10}, {200, 100}};

// Load: the usual rate over all gateways, over four of them, and over one.
// Guards against requests refused below the limit because callers use few
// gateways, or many with few requests each.
Test(quota, usual_load_is_not_refused) {
  for (const auto& quota : kQuotas) {
    for (const std::size_t used : {1, 4, 10}) {
      auto fleet = MakeFleet(quota);
      std::vector<std::size_t> gateways;
      for (std::size_t i = 0; i < used; ++i) {
        gateways.push_back(kGateways - 1 - i);
      }
      const auto rate = static_cast<double>(quota.requests_per_second) / 1.6;
      fleet->SetLoad(kTeam, rate, gateways);
      fleet->RunFor(seconds(60));
      cr_assert_leq(fleet->RefusedShare(kTeam), 0.01, "rate %f on %zu: %f",
                    rate, used, fleet->RefusedShare(kTeam));
      CheckWindow(*fleet, quota, "usual load");
    }
  }
}

// Load: 7.5 times the usual rate for 10 s, over all gateways and over one.
// Guards against a limit that adds up over gateways, and against one that
// refuses what is inside it while most requests are refused.
Test(quota, a_hot_team_gets_its_limit_and_no_more) {
  for (const auto& quota : kQuotas) {
    for (const std::size_t used : {1, 10}) {
      auto fleet = MakeFleet(quota);
      const auto usual = static_cast<double>(quota.requests_per_second) / 1.6;
      WarmUp(*fleet, usual);
      std::vector<std::size_t> gateways(fleet->All());
      gateways.resize(used);
      fleet->SetLoad(kTeam, usual * 7.5, gateways);
      fleet->RunFor(seconds(10));
      CheckWindow(*fleet, quota, "hot team");
      cr_assert_leq(fleet->RefusedShare(kTeam), 0.05, "rate %f on %zu: %f",
                    usual, used, fleet->RefusedShare(kTeam));
    }
  }
}

// Load: callers at the usual rate move to other gateways each second. Guards
// against leases that stay where the callers were.
Test(quota, callers_that_move_within_a_second_keep_their_limit) {
  for (const auto& quota : kQuotas) {
    auto fleet = MakeFleet(quota);
    const auto usual = static_cast<double>(quota.requests_per_second) / 1.6;
    WarmUp(*fleet, usual);
    for (std::size_t step = 0; step < 30; ++step) {
      fleet->SetLoad(kTeam, usual, {step * 3 % kGateways});
      fleet->RunFor(seconds(1));
    }
    CheckWindow(*fleet, quota, "moving callers");
    cr_assert_leq(fleet->RefusedShare(kTeam), 0.02, "quota %lu: %f",
                  quota.requests_per_second, fleet->RefusedShare(kTeam));
  }
}

// Load: 7.5 times the usual rate that moves each second. Guards against tokens
// that are saved up on each gateway in turn.
Test(quota, a_hot_team_that_moves_stays_inside_the_limit) {
  for (const auto& quota : kQuotas) {
    auto fleet = MakeFleet(quota);
    const auto hot = static_cast<double>(quota.requests_per_second) / 1.6 * 7.5;
    for (std::size_t step = 0; step < 30; ++step) {
      fleet->SetLoad(kTeam, hot, {step * 3 % kGateways});
      fleet->RunFor(seconds(1));
    }
    CheckWindow(*fleet, quota, "moving hot team");
  }
}

// Failure: a gateway starts again and again, empty, under a hot team. Guards
// against a new process that starts with a full part of its own.
Test(quota, gateways_that_restart_add_nothing) {
  for (const auto& quota : kQuotas) {
    auto fleet = MakeFleet(quota);
    const auto hot = static_cast<double>(quota.requests_per_second) / 1.6 * 7.5;
    fleet->SetLoad(kTeam, hot, fleet->All());
    for (std::size_t step = 0; step < 10; ++step) {
      fleet->Kill(9);
      fleet->RunFor(milliseconds(500));
      fleet->Start(9);
      fleet->RunFor(seconds(2));
    }
    CheckWindow(*fleet, quota, "restarts");
  }
}

// Failure: a gateway that is no keeper is killed; its callers go to the others.
// Guards against its lease staying lost to the team.
Test(quota, a_killed_gateway_leaves_its_part_to_the_others) {
  for (const auto& quota : kQuotas) {
    auto fleet = MakeFleet(quota);
    const auto usual = static_cast<double>(quota.requests_per_second) / 1.6;
    WarmUp(*fleet, usual);
    fleet->Kill(9);
    fleet->RunFor(seconds(2));
    fleet->SetView(fleet->All(), {0, 1, 2, 3, 4, 5, 6, 7, 8}, 0.9);
    fleet->RunFor(seconds(20));
    CheckWindow(*fleet, quota, "killed gateway");
    cr_assert_leq(fleet->RefusedShare(kTeam), 0.02, "quota %lu: %f",
                  quota.requests_per_second, fleet->RefusedShare(kTeam));
  }
}

// Failure: the keepers are killed one after another; the views change 2 s
// later. Guards against an old and a new keeper that both lease the whole
// limit, with a hot team, and against refusals at the usual rate.
Test(quota, lost_keepers_neither_add_nor_refuse) {
  for (const auto& quota : kQuotas) {
    for (const bool is_hot : {false, true}) {
      auto fleet = MakeFleet(quota);
      const auto usual = static_cast<double>(quota.requests_per_second) / 1.6;
      WarmUp(*fleet, usual);
      fleet->SetLoad(kTeam, is_hot ? usual * 7.5 : usual, fleet->All());
      std::vector<std::size_t> left(fleet->All());
      for (std::size_t lost = 0; lost < 3; ++lost) {
        fleet->Kill(lost);
        fleet->RunFor(seconds(2));
        left.erase(left.begin());
        fleet->SetView(left, left,
                       static_cast<double>(left.size()) / kGateways);
        fleet->RunFor(seconds(15));
      }
      CheckWindow(*fleet, quota, "lost keepers");
      if (!is_hot) {
        cr_assert_leq(fleet->RefusedShare(kTeam), 0.15, "quota %lu: %f",
                      quota.requests_per_second, fleet->RefusedShare(kTeam));
      }
    }
  }
}

// Failure: all gateways are killed and start at once. Each third of them knows
// only itself at first. Guards against refusals below the limit until keepers
// have settled, and against thirds that use the whole limit each.
Test(quota, a_start_of_all_gateways_neither_adds_nor_refuses) {
  for (const auto& quota : kQuotas) {
    for (const bool is_hot : {false, true}) {
      auto fleet = MakeFleet(quota);
      const auto usual = static_cast<double>(quota.requests_per_second) / 1.6;
      WarmUp(*fleet, usual);
      fleet->SetLoad(kTeam, is_hot ? usual * 7.5 : usual, fleet->All());
      for (const auto index : fleet->All()) {
        fleet->Kill(index);
      }
      const std::vector<std::vector<std::size_t>> thirds = {
          {0, 3, 6, 9}, {1, 4, 7}, {2, 5, 8}};
      for (const auto& third : thirds) {
        fleet->SetView(third, third, 1);
      }
      fleet->RunFor(seconds(1));
      fleet->ResetCounts();
      for (const auto index : fleet->All()) {
        fleet->Start(index);
      }
      fleet->RunFor(milliseconds(300));
      fleet->SetView(fleet->All(), fleet->All(), 1);
      fleet->RunFor(seconds(10));
      CheckWindow(*fleet, quota, "start of all");
      if (!is_hot) {
        cr_assert_leq(fleet->RefusedShare(kTeam), 0.05, "quota %lu: %f",
                      quota.requests_per_second, fleet->RefusedShare(kTeam));
      }
    }
  }
}

// Failure: a cut splits the gateways under a hot team, the sides replace each
// other after 2 s, and the cut heals. Guards against two sides that use the
// whole limit each, at the cut, while it lasts and when it heals.
Test(quota, two_sides_of_a_cut_share_the_limit) {
  const std::vector<std::size_t> one = {0, 2, 4, 6, 8};
  const std::vector<std::size_t> other = {1, 3, 5, 7, 9};
  for (const auto& quota : kQuotas) {
    auto fleet = MakeFleet(quota);
    const auto hot = static_cast<double>(quota.requests_per_second) / 1.6 * 7.5;
    fleet->SetLoad(kTeam, hot, fleet->All());
    fleet->RunFor(seconds(10));
    fleet->Cut({one.begin(), one.end()});
    fleet->RunFor(seconds(2));
    fleet->SetView(one, one, 0.5);
    fleet->RunFor(milliseconds(700));
    fleet->SetView(other, other, 0.5);
    fleet->RunFor(seconds(40));
    fleet->Cut({});
    fleet->SetView(one, fleet->All(), 1);
    fleet->RunFor(milliseconds(700));
    fleet->SetView(other, fleet->All(), 1);
    fleet->RunFor(seconds(20));
    CheckWindow(*fleet, quota, "cut");
  }
}

// Failure: one gateway loses the links to all others, while nobody's view
// changes. Guards against a gateway that runs what it likes without a keeper,
// and against waiting for keepers that don't answer.
Test(quota, a_gateway_that_is_cut_off_stays_inside) {
  for (const auto& quota : kQuotas) {
    auto fleet = MakeFleet(quota);
    const auto hot = static_cast<double>(quota.requests_per_second) / 1.6 * 7.5;
    fleet->SetLoad(kTeam, hot, fleet->All());
    fleet->RunFor(seconds(10));
    fleet->Cut({9});
    fleet->RunFor(seconds(30));
    CheckWindow(*fleet, quota, "cut off");
  }
}

// Failure: half of the gateways see other entries than the rest, so that two
// VMs keep the team, for 2 s in every 10. Guards against limits that add up
// over keepers.
Test(quota, two_views_of_the_membership_stay_inside) {
  const std::vector<std::size_t> some = {5, 6, 7, 8, 9};
  for (const auto& quota : kQuotas) {
    auto fleet = MakeFleet(quota);
    const auto hot = static_cast<double>(quota.requests_per_second) / 1.6 * 7.5;
    fleet->SetLoad(kTeam, hot, fleet->All());
    for (int i = 0; i < 4; ++i) {
      fleet->RunFor(seconds(8));
      fleet->SetView(some, {5, 6, 7, 8, 9, 0, 1, 2, 3, 4}, 1);
      fleet->RunFor(seconds(2));
      fleet->SetView(some, fleet->All(), 1);
    }
    CheckWindow(*fleet, quota, "two views");
  }
}

// Load: a version lowers the limit of a hot team to a quarter, and a later one
// raises it again. Guards against leases and saved requests of the old limit.
Test(quota, a_version_lowers_and_raises_the_limit) {
  const TeamQuota before{200, 100};
  const TeamQuota after{50, 20};
  auto fleet = MakeFleet(before);
  fleet->SetLoad(kTeam, 1000, fleet->All());
  fleet->RunFor(seconds(10));
  fleet->SetLimits({{kTeam, after}});
  const auto lowered = fleet->now();
  fleet->RunFor(seconds(20));
  CheckWindow(*fleet, after, "lowered limit", lowered);
  fleet->ResetCounts();
  fleet->SetLimits({{kTeam, before}});
  fleet->RunFor(seconds(20));
  CheckWindow(*fleet, before, "raised limit");
  cr_assert_leq(fleet->RefusedShare(kTeam), 0.05, "%f",
                fleet->RefusedShare(kTeam));
}

// Failure: one message in ten is lost. Guards against requests that wait for an
// answer that never comes, and against leases counted twice.
Test(quota, lost_messages_cost_little) {
  FakeQuotaFleet fleet({.gateways = kGateways, .loss = 0.1});
  fleet.RunFor(seconds(5));
  const TeamQuota quota{200, 100};
  fleet.SetLimits({{kTeam, quota}});
  fleet.SetLoad(kTeam, 125, fleet.All());
  fleet.RunFor(seconds(30));
  cr_assert_leq(fleet.RefusedShare(kTeam), 0.01);
  fleet.SetLoad(kTeam, 900, fleet.All());
  fleet.RunFor(seconds(20));
  CheckWindow(fleet, quota, "lost messages");
}

// Load: a team without a quota, at any rate. Guards against messages and
// refusals for teams that have no limit.
Test(quota, a_team_without_a_quota_is_not_limited) {
  auto fleet = MakeFleet({0, 0});
  fleet->SetLoad(kTeam, 500, fleet->All());
  fleet->RunFor(seconds(5));
  cr_assert_eq(fleet->result(kTeam).refused, 0U);
  for (const auto& node : fleet->nodes()) {
    cr_assert_eq(node.sent_messages, 0U);
  }
}

// Load: one request at each gateway in each 10 s, which fits the unasked part.
// Guards against messages about teams far below their limit.
Test(quota, few_requests_cause_no_message) {
  auto fleet = MakeFleet({5, 5});
  for (std::size_t i = 0; i < 6 * kGateways; ++i) {
    fleet->Arrive(i % kGateways, TeamId(kTeam));
    fleet->RunFor(seconds(1));
  }
  for (const auto& node : fleet->nodes()) {
    cr_assert_eq(node.sent_messages, 0U);
  }
  cr_assert_eq(fleet->result(kTeam).ran.size(), 6 * kGateways);
}

// Load: a hot team. Guards against callers that are all told to come back at
// the same moment, and against one log line for each refused request.
Test(quota, refusals_say_when_to_retry_and_are_logged_rarely) {
  auto fleet = MakeFleet({20, 10});
  fleet->SetLoad(kTeam, 100, fleet->All());
  fleet->RunFor(seconds(20));
  const auto& waits = fleet->result(kTeam).retry_after;
  const auto [least, most] = std::minmax_element(waits.begin(), waits.end());
  cr_assert(*least >= kMinQuotaRetry && *most <= kMaxQuotaRetry);
  cr_assert(*most - *least >= seconds(1));
  for (const auto& node : fleet->nodes()) {
    cr_assert_leq(node.limited_lines, 3U);
  }
}

}  // namespace
}  // namespace flamingoyoke
