#include "table/team_index.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>

namespace flamingoyoke {
namespace {

// Returns the index of `count` teams with two keys each.
auto MakeIndex(std::size_t count) -> TeamIndex {
  auto routing = std::make_shared<Routing>();
  auto& teams = routing->teams.emplace();
  for (std::size_t i = 0; i < count; ++i) {
    const auto number = std::to_string(i);
    Team team;
    team.id = TeamId("team-" + number);
    team.keys = {"old-" + number, "new-" + number};
    teams.push_back(std::move(team));
  }
  return TeamIndex(std::move(routing));
}

}  // namespace

// Guards against requests that count for another team, at the number of teams
// that the fleet is to hold, and against keys that match by a part.
Test(team_index, finds_the_holder_of_each_key) {
  constexpr std::size_t kTeams = 150'000;
  const auto index = MakeIndex(kTeams);
  cr_assert(index.requires_keys());
  cr_assert_eq(index.team_count(), kTeams);
  for (const auto* number : {"0", "77777", "149999"}) {
    for (const auto* kind : {"old-", "new-"}) {
      const auto* team = index.Find(std::string(kind) + number);
      cr_assert(team != nullptr);
      cr_assert_eq(team->id.value(), std::string("team-") + number);
    }
  }
  for (const auto* unknown : {"", "old-", "old-150000", "OLD-1", "old-1 "}) {
    cr_assert(index.Find(unknown) == nullptr, "%s", unknown);
  }
}

// An empty table admits nobody, while a configuration without a table needs no
// keys.
Test(team_index, an_empty_table_requires_keys) {
  cr_assert(MakeIndex(0).requires_keys());
  cr_assert_not(TeamIndex(std::make_shared<Routing>()).requires_keys());
  cr_assert_not(TeamIndex(nullptr).requires_keys());
}

}  // namespace flamingoyoke
