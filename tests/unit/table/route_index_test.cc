#include "table/route_index.h"

#include <criterion/criterion.h>

#include <memory>

namespace flamingoyoke {
namespace {

auto MakeIndex() -> RouteIndex {
  auto routing = std::make_shared<Routing>();
  const auto add = [&](const char* name, const char* host, const char* prefix) {
    Route route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.shares = {{ServiceId(name), 1}};
    routing->routes.push_back(route);
  };
  add("short", "a.example", "/x/");
  add("long", "a.example", "/x/y/");
  add("other", "b.example", "/");
  return RouteIndex(routing);
}

auto NameOf(const Route* route) -> std::string {
  return route == nullptr ? "none" : route->name;
}

}  // namespace

// The longest matching prefix must win; otherwise requests reach the service of
// a shorter prefix.
Test(route_index, takes_the_longest_prefix_of_the_host) {
  const auto index = MakeIndex();
  cr_assert_eq(NameOf(index.Find("a.example", "/x/y/1")), "long");
  cr_assert_eq(NameOf(index.Find("a.example", "/x/1")), "short");
  cr_assert_eq(NameOf(index.Find("b.example", "/x/y/1")), "other");
}

// A prefix must not match part of a path segment.
Test(route_index, needs_the_slash_at_the_end_of_the_prefix) {
  const auto index = MakeIndex();
  cr_assert_eq(NameOf(index.Find("a.example", "/x")), "none");
  cr_assert_eq(NameOf(index.Find("a.example", "/xy/1")), "none");
}

// A host with a port or in upper case must match; otherwise callers get a 404.
Test(route_index, ignores_the_port_and_case_of_the_host) {
  const auto index = MakeIndex();
  cr_assert_eq(NameOf(index.Find("A.Example:8080", "/x/1")), "short");
}

Test(route_index, finds_nothing_without_a_routing) {
  cr_assert_null(RouteIndex().Find("a.example", "/x/"));
  cr_assert_null(MakeIndex().Find("c.example", "/x/"));
}

}  // namespace flamingoyoke
