#include "integration/soak/team_checks.h"

#include <criterion/criterion.h>

#include <chrono>
#include <string>
#include <vector>

namespace flamingoyoke::integration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kRemoved = TimePoint(seconds(100));
const TimePoint kReturned = TimePoint(seconds(110));

auto At(TimePoint time) -> Interval {
  return {time - milliseconds(1), time};
}

// A team whose key is away from kRemoved to kReturned, and whose limit of 4
// requests/s without a burst is halved at kRemoved.
struct Case {
  SoakSettings settings{.teams = {{"shop", {"shop-1"}, 4, 0, 1}}};
  std::vector<GatewayHistory> gateways = {{.starts = {TimePoint(seconds(1))}}};
  TeamHistory history{
      .absences = {{"shop-1", {{At(kRemoved), At(kReturned)}}}},
      .limits = {{{At(TimePoint(seconds(1))), 4, 0}, {At(kRemoved), 2, 0}}},
      .store_away = {}};
  TargetLogs logs;

  [[nodiscard]] auto Check(const EndedCall& call) const
      -> std::vector<std::string> {
    return TeamChecks(settings, gateways, history, logs).Check(call);
  }

  // Checks a call that reached a target at `time`.
  auto Run(TimePoint time, const std::string& team = "shop")
      -> std::vector<std::string> {
    logs.arrivals["c-1"] = {time};
    logs.teams["c-1"] = {team};
    return Check(
        {.id = "c-1", .key = "shop-1", .time = {time, time}, .status = 200});
  }

  // Checks a call that was refused at `time`.
  [[nodiscard]] auto Refuse(TimePoint time) const -> std::vector<std::string> {
    return Check(
        {.id = "c-2", .key = "shop-1", .time = {time, time}, .status = 401});
  }

  // Returns the peak of `count` requests that reach a target at `time`.
  auto Peak(TimePoint time, std::size_t count) -> QuotaPeak {
    std::vector<EndedCall> calls;
    logs.arrivals.clear();
    for (std::size_t i = 0; i < count; ++i) {
      calls.push_back({.id = std::to_string(i)});
      logs.arrivals[std::to_string(i)] = {time, time + seconds(9)};
    }
    return TeamChecks(settings, gateways, history, logs)
        .FindPeaks(calls)
        .front();
  }
};

using Names = std::vector<std::string>;

}  // namespace

// Guards against a check that overlooks requests with a key that is gone, or
// blames a gateway that could not know it.
Test(team_checks, finds_requests_that_run_without_a_key) {
  const auto late = kRemoved + milliseconds(2001);
  cr_expect(Case().Run(late) == Names{"REVOKED"});
  cr_expect(Case().Run(kRemoved + seconds(2)).empty());
  cr_expect(Case().Run(kReturned).empty());
  Case harmed;
  harmed.gateways[0].harmed = {At(late - seconds(3))};
  cr_expect(harmed.Run(late).empty());
  cr_expect(harmed.Run(late + seconds(1)) == Names{"REVOKED"});
  Case started;
  started.gateways[0].starts.push_back(late - seconds(3));
  cr_expect(started.Run(late).empty());
  Case away;
  away.history.store_away = {At(late - seconds(3))};
  cr_expect(away.Run(late).empty());
}

// Guards against a check that overlooks refused callers whose keys are valid,
// and requests with the name of another team or none.
Test(team_checks, finds_valid_keys_that_are_refused_and_false_teams) {
  cr_expect(Case().Refuse(kRemoved - seconds(1)) == Names{"UNAUTHORIZED"});
  cr_expect(Case().Refuse(kReturned + milliseconds(2001)) ==
            Names{"UNAUTHORIZED"});
  cr_expect(Case().Refuse(kRemoved).empty());
  cr_expect(Case().Refuse(kReturned + seconds(2)).empty());
  Case harmed;
  harmed.gateways[0].harmed = {At(kRemoved - seconds(2))};
  cr_expect(harmed.Refuse(kRemoved - seconds(1)).empty());
  harmed.history.absences.clear();
  cr_expect(harmed.Refuse(kRemoved - seconds(1)) == Names{"UNAUTHORIZED"});
  cr_expect(Case().Run(kRemoved, "batch") == Names{"TEAM"});
  cr_expect(Case().Run(kRemoved, "batch,shop") == Names{"TEAM"});
  cr_expect(Case().Run(kRemoved, "") == Names{"TEAM"});
}

// Guards against a bound of the wrong limit, and against requests that count
// twice when they are tried again.
Test(team_checks, compares_requests_with_the_limit_in_force) {
  const auto before = Case().Peak(kRemoved + milliseconds(1999), 46);
  cr_expect_eq(before.requests, 46);
  cr_expect_eq(before.allowed, 45);
  cr_expect_eq(Case().Peak(kRemoved + seconds(2), 46).allowed, 32);
  Case away;
  away.history.store_away = {At(kRemoved + seconds(4))};
  cr_expect_eq(away.Peak(kRemoved + seconds(3), 46).allowed, 45);
}

}  // namespace flamingoyoke::integration
