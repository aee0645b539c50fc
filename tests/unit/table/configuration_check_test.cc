#include "table/configuration_check.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

namespace flamingoyoke {
namespace {

auto MakeRoute(const std::string& name, const std::string& prefix) -> Route {
  Route route;
  route.name = name;
  route.host = "a.example";
  route.prefix = prefix;
  route.timeout = std::chrono::seconds(2);
  route.shares = {{ServiceId("s"), 1}};
  return route;
}

auto MakeTeam(const std::string& name, const std::string& key) -> Team {
  return {TeamId(name), {key}, {10, 10}, std::nullopt};
}

// A configuration without findings.
auto MakeRouting() -> Routing {
  Routing routing;
  routing.routes = {MakeRoute("r1", "/x/"), MakeRoute("r2", "/x/y/")};
  routing.services = {{ServiceId("s"), "/health", 10}};
  routing.teams = {{MakeTeam("t1", "secret-1"), MakeTeam("t2", "secret-2")}};
  return routing;
}

auto Has(const std::vector<ConfigurationFinding>& findings,
         FindingKind kind,
         const std::string& name,
         const std::string& field) -> bool {
  return std::any_of(findings.begin(), findings.end(), [&](const auto& each) {
    return each.kind == kind && each.name == name && each.field == field;
  });
}

// Guards against findings in a configuration that has no fault.
Test(configuration_check, accepts_nested_prefixes_and_teams) {
  cr_assert(CheckConfiguration(MakeRouting()).empty());
}

// Guards against entries that no request reaches and nobody notices.
Test(configuration_check, finds_entries_that_no_request_matches) {
  auto routing = MakeRouting();
  auto shadowed = MakeRoute("r3", "/x/");
  shadowed.host = "A.example:80";
  shadowed.shares = {{ServiceId("s"), 0}, {ServiceId("s"), 1}};
  routing.routes.push_back(shadowed);
  routing.services.push_back({ServiceId("unused"), "/", 1});
  const auto findings = CheckConfiguration(routing);
  cr_assert(Has(findings, FindingKind::kUnreachable, "r3", "prefix"));
  cr_assert(Has(findings, FindingKind::kUnreachable, "r3", "shares"));
  cr_assert(Has(findings, FindingKind::kUnreachable, "unused", ""));
  cr_assert_eq(findings.size(), 3);
}

// Guards against a key of two teams, whose requests could be either's, and
// against a report that shows the key.
Test(configuration_check, finds_a_key_of_two_teams_without_printing_it) {
  auto routing = MakeRouting();
  routing.teams->back().keys.emplace_back("secret-1");
  const auto findings = CheckConfiguration(routing);
  cr_assert_eq(findings.size(), 1);
  cr_assert(Has(findings, FindingKind::kError, "t2", "keys"));
  cr_assert(findings[0].reason.find("secret") == std::string::npos);
}

// Guards against limits that cannot hold together.
Test(configuration_check, finds_limits_that_contradict_each_other) {
  auto routing = MakeRouting();
  routing.routes[0].timeout = std::chrono::milliseconds(100);
  routing.teams->front().quota = {5, 0};
  routing.limits.idle_timeout = std::chrono::seconds(1);
  const auto findings = CheckConfiguration(routing);
  cr_assert(Has(findings, FindingKind::kContradiction, "r1", "timeout"));
  cr_assert(Has(findings, FindingKind::kContradiction, "t1", "burst"));
  cr_assert(
      Has(findings, FindingKind::kContradiction, "requests", "idle_timeout"));
  cr_assert_eq(findings.size(), 3);

  Table table;
  ServiceRow row;
  row.service = ServiceId("s");
  row.targets.resize(3);
  row.floor = 0.9;
  row.team_rate = 2;
  table.rows = {row};
  const auto of_table = CheckConfiguration(table);
  cr_assert(Has(of_table, FindingKind::kContradiction, "s", "floor"));
  cr_assert(Has(of_table, FindingKind::kContradiction, "s", "team_burst"));
  cr_assert_eq(of_table.size(), 2);
}

// Guards against changes that are sent unseen, and against printed keys.
Test(configuration_check, compares_by_entry_and_field) {
  const auto before = MakeRouting();
  auto after = before;
  after.routes.erase(after.routes.begin());
  after.routes.push_back(MakeRoute("r9", "/z/"));
  after.routes[0].priority = 3;
  after.teams->front().keys = {"secret-3"};
  const auto differences = CompareEntries(EntriesOf(before), EntriesOf(after));
  cr_assert_eq(differences.size(), 4);
  cr_assert(differences[0].kind == DifferenceKind::kRemoved);
  cr_assert_eq(differences[0].name, "r1");
  cr_assert_eq(differences[1].field, "priority");
  cr_assert_eq(differences[1].before, "0");
  cr_assert_eq(differences[1].after, "3");
  cr_assert(differences[2].kind == DifferenceKind::kAdded);
  cr_assert_eq(differences[2].name, "r9");
  cr_assert_eq(differences[3].field, "keys");
  cr_assert_eq(differences[3].after, "1 key");
  cr_assert(CompareEntries(EntriesOf(before), EntriesOf(before)).empty());
}

}  // namespace
}  // namespace flamingoyoke
