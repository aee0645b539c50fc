#include "platform/store_values.h"

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "platform/dialect.h"

namespace flamingoyoke::platform {
namespace {

constexpr const char* kConfig = R"({"version":"r7","routes":{
  "r-1":{"host":"a.example","prefix":"/x/","kind":"unsafe","timeout_ms":1200,
         "slo_ms":600,"priority":1,"service":"s1","max_attempts":2},
  "r-2":{"host":"b.example","prefix":"/y/","kind":"safe","timeout_ms":1000,
         "slo_ms":500,"priority":2,"max_attempts":2,
         "traffic_split":[{"service":"s1","weight":90},
                          {"service":"s2","weight":10}]},
  "r-3":{"host":"b.example","prefix":"/z/","kind":"upload","service":"s2"}},
  "services":{"s1":{"health_path":"/health","max_conns":330},
              "s2":{"health_path":"/health","max_conns":330}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
            "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

constexpr const char* kEntry =
    R"({"address":"10.128.0.9:8080","born":1780000000000,
        "info":{"service":"s1","version":"v1","zone":"z","slots":2},
        "status":{"state":"ready","seq":4,"warmup_left_ms":120}})";

// Returns a configuration with the given table of teams.
auto WithTeams(const std::string& teams) -> std::string {
  return R"({"version":"r8","routes":{
    "r-1":{"host":"a.example","prefix":"/x/","kind":"safe","service":"s1"},
    "r-2":{"host":"a.example","prefix":"/y/","kind":"safe","service":"s1",
           "auth_exempt":true}},
    "services":{},"tenants":)" +
         teams + "}";
}

auto FindRoute(const Routing& routing, const std::string& name) -> Route {
  for (const auto& route : routing.routes) {
    if (route.name == name) {
      return route;
    }
  }
  return {};
}

}  // namespace

// The field names of the platform must be mapped correctly, above all `kind`,
// which decides whether a request may be retried.
Test(store_values, reads_a_configuration) {
  std::optional<Routing> routing;
  const auto error = CaptureInto(routing, [] { return ReadRouting(kConfig); });
  cr_assert_not(error);
  cr_assert_eq(routing->revision, Revision(7));
  cr_assert_eq(routing->routes.size(), 3U);
  const auto once = FindRoute(*routing, "r-1");
  cr_assert(once.repeatability == Repeatability::kOnce);
  cr_assert_eq(ToMilliseconds(once.timeout), 1200);
  cr_assert_eq(ToMilliseconds(once.objective), 600);
  cr_assert_eq(once.max_attempts, 2U);
  const auto split = FindRoute(*routing, "r-2");
  cr_assert(split.repeatability == Repeatability::kRepeatable);
  cr_assert_eq(split.shares.size(), 2U);
  cr_assert_eq(split.shares[1].weight, 10U);
  cr_assert(FindRoute(*routing, "r-3").repeatability == Repeatability::kOnce);
  cr_assert_eq(routing->limits.max_body_bytes, 67'108'864U);
  cr_assert_eq(routing->services.front().max_connections, 330U);
}

// An invalid configuration must be rejected; otherwise it replaces a valid one.
Test(store_values, rejects_invalid_configurations) {
  for (const std::string text :
       {"", "{", "[]", R"({"version":7,"routes":{},"services":{}})",
        R"({"version":"7","routes":{},"services":{}})",
        R"({"version":"rx","routes":{},"services":{}})",
        R"({"version":"r7","services":{}})",
        R"({"version":"r7","routes":{"a":{"host":"h"}},"services":{}})"}) {
    std::optional<Routing> routing;
    cr_assert(CaptureInto(routing, [&] { return ReadRouting(text); }), "%s",
              text.c_str());
  }
}

// Guards against teams without their limits or keys, and against public routes
// that need keys.
Test(store_values, reads_teams) {
  std::optional<Routing> routing;
  cr_assert_not(CaptureInto(routing, [] {
    return ReadRouting(WithTeams(
        R"({"b":{"api_keys":["k-1","k 2"],"priority":0,"rate_per_s":2.5,
                 "burst":7},
            "a":{"api_keys":[]}})"));
  }));
  cr_assert(routing->teams.has_value());
  const auto& teams = *routing->teams;
  cr_assert_eq(teams.size(), 2U);
  cr_assert_eq(teams[0].id.value(), "a");
  cr_assert(teams[0].quota == TeamQuota{});
  cr_assert_not(teams[0].priority.has_value());
  const std::vector<std::string> keys = {"k-1", "k 2"};
  cr_assert(teams[1].keys == keys);
  cr_assert(teams[1].priority == 0U);
  // Rounded up, so that nothing below the limit is refused.
  cr_assert_eq(teams[1].quota.requests_per_second, 3U);
  cr_assert_eq(teams[1].quota.burst, 7U);
  cr_assert_not(FindRoute(*routing, "r-1").is_public);
  cr_assert(FindRoute(*routing, "r-2").is_public);
}

// An absent table asks for no keys, while an empty one admits nobody.
Test(store_values, an_empty_table_of_teams_is_a_table) {
  std::optional<Routing> routing;
  cr_assert_not(
      CaptureInto(routing, [] { return ReadRouting(WithTeams("{}")); }));
  cr_assert(routing->teams.has_value());
  cr_assert_not(CaptureInto(routing, [] { return ReadRouting(kConfig); }));
  cr_assert_not(routing->teams.has_value());
}

// Guards against keys that admit a caller to the wrong team or to none, and
// against keys in the reason, which is logged.
Test(store_values, rejects_invalid_teams_without_their_keys) {
  struct Case {
    const char* teams;
    // Texts that the reason must contain.
    std::vector<std::string> names;
  };
  for (const auto& each : std::vector<Case>{
           {R"({"one":{"api_keys":["secret"]},"two":{"api_keys":["secret"]}})",
            {"one", "two"}},
           {R"({"one":{"api_keys":["secret", ""]}})", {"one"}},
           {R"({"one":{"api_keys":["secret\r\nX: y"]}})", {"one"}},
           {R"({"one":{"api_keys":[" secret"]}})", {"one"}},
           {R"({"one":{"api_keys":"secret"}})", {"one"}},
           {R"({"one":{"api_keys":[{"secret":1}]}})", {"one"}},
           {R"({"one":{"api_keys":["secret"],"rate_per_s":-1}})", {"one"}},
           {R"({"one":{"api_keys":["secret"],"burst":"secret"}})", {"one"}},
           {R"({"one":{"api_keys":["secret"],"priority":1.5}})", {"one"}},
           {R"({"one":{}})", {"one"}},
           {R"({"":{"api_keys":["secret"]}})", {}},
           {R"({"a\nb":{"api_keys":["secret"]}})", {}},
           {R"(["secret"])", {}},
           {R"("secret")", {}},
           {"null", {}},
           {R"({"one":{"api_keys":["secret" "secret"]}})", {}},
           {R"({"one":{"api_keys":["secret)", {}}}) {
    std::optional<Routing> routing;
    const auto error = CaptureInto(
        routing, [&] { return ReadRouting(WithTeams(each.teams)); });
    cr_assert(error, "%s", each.teams);
    const auto reason = error->detail;
    cr_assert_eq(reason.find("secret"), std::string::npos, "%s",
                 reason.c_str());
    for (const auto& name : each.names) {
      cr_assert_neq(reason.find(name), std::string::npos, "%s", reason.c_str());
    }
  }
}

Test(store_values, reads_an_entry) {
  std::optional<RegisteredTarget> target;
  cr_assert_not(
      CaptureInto(target, [] { return ReadTarget(TargetId("i-1"), kEntry); }));
  cr_assert_eq(target->id, TargetId("i-1"));
  cr_assert_eq(target->host, "10.128.0.9");
  cr_assert_eq(target->port, 8080);
  cr_assert_eq(target->slots, 2U);
  cr_assert(target->warming);
  cr_assert_not(target->leaving);
  cr_assert_eq(target->started_ms, 1'780'000'000'000);
}

// Entries without a valid target must be rejected; otherwise requests are sent
// to entries that another program wrote.
Test(store_values, rejects_entries_without_valid_target) {
  const std::string good = kEntry;
  const auto with = [&](const std::string& from, const std::string& to) {
    auto text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  for (const auto& text :
       {with("\"ready\"", "\"asleep\""), with("10.128.0.9:8080", "nowhere"),
        with("\"slots\":2", "\"slots\":\"two\""), with("\"zone\":\"z\",", ""),
        std::string("\xFF\xFE")}) {
    std::optional<RegisteredTarget> target;
    cr_assert(
        CaptureInto(target, [&] { return ReadTarget(TargetId("i-1"), text); }));
  }
}

// Numbers that do not fit must be rejected; otherwise they are truncated to a
// plausible value, or their conversion is undefined.
Test(store_values, rejects_entries_with_numbers_out_of_range) {
  const std::string good = kEntry;
  const auto with = [&](const std::string& from, const std::string& to) {
    auto text = good;
    text.replace(text.find(from), from.size(), to);
    return text;
  };
  const std::string slots = "\"slots\":2";
  const std::string born = "1780000000000";
  const std::string warmup = "\"warmup_left_ms\":120";
  for (const auto& text :
       {with(slots, "\"slots\":4294967298"), with(slots, "\"slots\":1e300"),
        with(slots, "\"slots\":1e999"), with(slots, "\"slots\":-1"),
        with(slots, "\"slots\":0"), with(slots, "\"slots\":4000000000"),
        with(slots, "\"slots\":2.5"), with(born, "1e300"),
        with(born, "18446744073709551615"), with(born, "-1"),
        with(warmup, "\"warmup_left_ms\":1e300"),
        with("10.128.0.9:8080", "10.128.0.9:65536"),
        with("10.128.0.9:8080", "10.128.0.9:-1"),
        with("10.128.0.9:8080", "10.128.0.9:0")}) {
    std::optional<RegisteredTarget> target;
    cr_assert(
        CaptureInto(target, [&] { return ReadTarget(TargetId("i-1"), text); }),
        "%s", text.c_str());
  }
}

// An entry must not take far more memory than its size, and its names must not
// be forwarded to every VM or into headers whatever they contain.
Test(store_values, rejects_deeply_nested_and_oversized_entries) {
  const std::string good = kEntry;
  const auto with_field = [&](const std::string& value) {
    return "{\"extra\":" + value + "," + good.substr(1);
  };
  constexpr std::size_t kDepth = 200'000;
  const auto nested =
      with_field(std::string(kDepth, '[') + std::string(kDepth, ']'));
  const auto nested_shortly =
      with_field(std::string(100, '[') + std::string(100, ']'));
  auto long_name = good;
  long_name.replace(long_name.find("\"s1\""), 4,
                    "\"" + std::string(5000, 's') + "\"");
  for (const auto& text :
       {nested, nested_shortly, long_name,
        with_field("\"" + std::string(50'000, 'x') + "\"")}) {
    std::optional<RegisteredTarget> target;
    const auto error =
        CaptureInto(target, [&] { return ReadTarget(TargetId("i-1"), text); });
    cr_assert(error, "%s", text.substr(0, 80).c_str());
    cr_assert_leq(error->detail.size(), 300U);
  }
  std::optional<RegisteredTarget> target;
  cr_assert(CaptureInto(
      target, [&] { return ReadTarget(TargetId("i-1\r\nX: y"), good); }));
}

// A number out of range in a route must be rejected with the configuration,
// because a truncated one would be taken for the operator's.
Test(store_values, rejects_configurations_with_numbers_out_of_range) {
  const std::string good = kConfig;
  for (const auto& [from, to] :
       {std::pair{"\"timeout_ms\":1200", "\"timeout_ms\":1e300"},
        std::pair{"\"timeout_ms\":1200", "\"timeout_ms\":-5"},
        std::pair{"\"priority\":1", "\"priority\":4294967297"},
        std::pair{"\"max_attempts\":2", "\"max_attempts\":-2"},
        std::pair{"\"max_conns\":330", "\"max_conns\":1e12"},
        std::pair{"\"weight\":90", "\"weight\":4294967386"}}) {
    auto text = good;
    text.replace(text.find(from), std::string(from).size(), to);
    std::optional<Routing> routing;
    cr_assert(CaptureInto(routing, [&] { return ReadRouting(text); }), "%s",
              to);
  }
}

Test(store_values, reads_lists_and_watches) {
  std::optional<StorePage> page;
  cr_assert_not(CaptureInto(page, [] {
    return ReadPage(
        R"({"items":[{"key":"a","value":"bm9kZS0x","rev":4}],"has_more":true,"as_of":530})");
  }));
  cr_assert_eq(page->items.front().value, "node-1");
  cr_assert(page->has_more);
  cr_assert_eq(page->as_of, 530U);
  page.reset();
  cr_assert_not(CaptureInto(page, [] {
    return ReadPage(
        R"({"events":[{"key":"b","rev":5,"tombstone":true}],"as_of":5})");
  }));
  cr_assert(page->items.front().removed);
}

// One value that cannot be decoded must not hide the other entries of its page;
// otherwise the VM stops following the store.
Test(store_values, reads_the_other_entries_beside_an_unreadable_one) {
  for (const std::string value :
       {"\"?\"", "\"A\"", "\"bm9kZ\"", "7", "null", "[[]]"}) {
    std::optional<StorePage> page;
    cr_assert_not(CaptureInto(page,
                              [&] {
                                return ReadPage(
                                    R"({"items":[{"key":"a","value":)" + value +
                                    R"(,"rev":4},
                                     {"key":"b","value":"bm9kZS0x","rev":4}],
                                     "as_of":9})");
                              }),
                  "%s", value.c_str());
    cr_assert_eq(page->items.size(), 2U);
    std::optional<RegisteredTarget> target;
    cr_assert(CaptureInto(target, [&] {
      return ReadTarget(TargetId("a"), page->items.front().value);
    }));
    cr_assert_eq(page->items.back().value, "node-1");
  }
}

// A page without the fields that reading continues from must be rejected.
Test(store_values, rejects_malformed_pages) {
  for (const std::string text :
       {R"({"items":[{"value":"bm9kZS0x"}],"as_of":1})", R"({"items":[]})",
        R"({"items":[],"as_of":-1})", R"({"items":[],"as_of":1e30})", "[",
        ""}) {
    std::optional<StorePage> page;
    cr_assert(CaptureInto(page, [&] { return ReadPage(text); }), "%s",
              text.c_str());
  }
}

// The list continues after the last key of a page, which another program may
// have chosen.
Test(store_values, encodes_the_key_that_a_list_continues_after) {
  const auto dialect = MakeDialect();
  const auto target = dialect.store.list_target("servers/a b&c#\r\n%");
  cr_assert(target.ends_with("&after=servers%2Fa%20b%26c%23%0D%0A%25"), "%s",
            target.c_str());
}

Test(store_values, parses_store_keys) {
  const auto dialect = MakeDialect();
  const auto& read = dialect.store.read_key;
  cr_assert(std::holds_alternative<RoutingKey>(read("op/config")));
  cr_assert(std::holds_alternative<OtherKey>(read("op/other")));
  cr_assert(std::holds_alternative<OtherKey>(read("servers/")));
  const auto key = read("servers/i-1");
  cr_assert_eq(std::get<TargetKey>(key).target, TargetId("i-1"));
}

Test(store_values, writes_addresses_as_callers_read_them) {
  const auto dialect = MakeDialect();
  cr_assert_eq(dialect.gateway.write_addresses({"10.1.0.18:8381"},
                                               std::chrono::seconds(2)),
               R"({"addrs":["10.1.0.18:8381"],"ttl_s":2.0})");
}

// Guards against a faulty statement that is taken for a load.
Test(store_values, reads_the_load_that_a_target_states) {
  const auto read = MakeDialect().gateway.read_load;
  cr_assert((read("3,0,8") == StatedLoad{3, 0, 8}));
  for (const auto* const text :
       {"", "3", "3,0", "3,0,", "3,0,8,", "3,0,8 ", " 3,0,8", "-1,0,8", "3;0;8",
        "3,,8", "3,0.5,8", "3,99999,8", "3,0,99999999999"}) {
    cr_assert_not(read(text).has_value(), "%s", text);
  }
}

}  // namespace flamingoyoke::platform
