#include "decision/dispatch/team_limiter.h"

#include <criterion/criterion.h>

#include <string>

namespace flamingoyoke {
namespace {

constexpr TimePoint kNow{std::chrono::seconds(50)};

// Guards against a team that exceeds its rate.
Test(team_limiter, admits_the_burst_and_then_the_rate) {
  TeamLimiter limiter;
  limiter.Configure(10, 2);
  cr_assert(limiter.Allow(TeamId("a"), kNow));
  cr_assert(limiter.Allow(TeamId("a"), kNow));
  cr_assert_not(limiter.Allow(TeamId("a"), kNow));
  cr_assert(limiter.Allow(TeamId("b"), kNow));
  const auto later = kNow + std::chrono::milliseconds(100);
  cr_assert(limiter.Allow(TeamId("a"), later));
  cr_assert_not(limiter.Allow(TeamId("a"), later));
}

// Guards against memory that grows with the number of teams, and against
// evicting the bucket of an active team in favor of rarely seen ones.
Test(team_limiter, keeps_the_most_recently_used_teams) {
  TeamLimiter limiter;
  limiter.Configure(1, 1);
  limiter.Allow(TeamId("busy"), kNow);
  for (std::size_t i = 0; i < 3 * TeamLimiter::kMaxTeams; ++i) {
    limiter.Allow(TeamId(std::to_string(i)), kNow);
    cr_assert_not(limiter.Allow(TeamId("busy"), kNow));
  }
  cr_assert_eq(limiter.size(), TeamLimiter::kMaxTeams);
}

}  // namespace
}  // namespace flamingoyoke
