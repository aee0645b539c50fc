#include "wire/published_codec.h"

#include <criterion/criterion.h>

#include <optional>
#include <vector>

namespace flamingoyoke {
namespace {

auto SampleRouting() -> Routing {
  Route route;
  route.name = "r-1";
  route.host = "a.example";
  route.prefix = "/x/";
  route.repeatability = Repeatability::kOnce;
  route.timeout = std::chrono::milliseconds(1200);
  route.objective = std::chrono::milliseconds(600);
  route.priority = 2;
  route.max_attempts = 3;
  route.shares = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  Routing routing;
  routing.revision = Revision(7);
  routing.routes = {route};
  routing.services = {{ServiceId("a"), "/health", 330}};
  routing.limits.max_body_bytes = 64 << 20;
  return routing;
}

}  // namespace

// Guards against fields that are lost in encoding or decoding.
Test(published_codec, returns_what_was_encoded) {
  const auto routing = SampleRouting();
  std::optional<Routing> decoded;
  cr_assert_not(CaptureInto(decoded, [&] {
    return DecodeRouting(EncodeRouting(routing), Revision(7));
  }));
  cr_assert(*decoded == routing);
  Registry registry;
  registry.revision = Revision(9);
  registry.targets = {{TargetId("i-1"), ServiceId("a"), "10.0.0.1", 8080,
                       FailureDomainId("z"), 2, true, true, 1234, 56}};
  std::optional<Registry> targets;
  cr_assert_not(CaptureInto(targets, [&] {
    return DecodeRegistry(EncodeRegistry(registry), Revision(9));
  }));
  cr_assert(*targets == registry);
}

// Guards against a fleet that stops to ask for keys because a version went
// through a peer, or asks for keys although there is no table of teams.
Test(published_codec, returns_the_table_of_teams) {
  Team team;
  team.id = TeamId("t");
  team.keys = {"a", "b"};
  team.quota = {20, 40};
  team.priority = 0;
  for (const auto& teams :
       {std::optional<std::vector<Team>>(), std::optional(std::vector<Team>()),
        std::optional(
            std::vector<Team>{team, Team{TeamId("u"), {}, {}, {}}})}) {
    auto routing = SampleRouting();
    routing.routes.front().is_public = true;
    routing.teams = teams;
    std::optional<Routing> decoded;
    cr_assert_not(CaptureInto(decoded, [&] {
      return DecodeRouting(EncodeRouting(routing), Revision(7));
    }));
    cr_assert(*decoded == routing);
  }
}

// Guards against nodes that announce equal content under different digests.
Test(published_codec, equal_values_give_equal_bytes) {
  auto later = SampleRouting();
  later.revision = Revision(8);
  cr_assert_eq(EncodeRouting(SampleRouting()), EncodeRouting(later));
}

// Guards against activating a route without a service, or a target without a
// port.
Test(published_codec, refuses_invalid_content) {
  auto routing = SampleRouting();
  routing.routes.front().shares.clear();
  std::optional<Routing> decoded;
  cr_assert(CaptureInto(decoded, [&] {
    return DecodeRouting(EncodeRouting(routing), Revision(1));
  }));
  cr_assert(CaptureInto(decoded,
                        [] { return DecodeRouting("\xFF\xFF", Revision(1)); }));
  std::optional<Registry> registry;
  Registry bad;
  bad.targets.emplace_back();
  cr_assert(CaptureInto(registry, [&] {
    return DecodeRegistry(EncodeRegistry(bad), Revision(1));
  }));
}

}  // namespace flamingoyoke
