#include "node/traffic/gateway/caller_team.h"

#include <criterion/criterion.h>

#include <future>
#include <string>
#include <vector>

#include "node/traffic/http_text.h"
#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(caller_team, .timeout = 120);

auto MakeTeams() -> std::vector<Team> {
  Team one;
  one.id = TeamId("one");
  one.keys = {"key-1", "key-1b"};
  Team two;
  two.id = TeamId("two");
  two.keys = {"key-2"};
  return {one, two};
}

// Returns a request with further header lines.
auto RequestWith(const std::string& path, const std::string& headers)
    -> std::string {
  return "POST " + path + " HTTP/1.1\r\nHost: h\r\nId: req-1\r\n" + headers +
         "Content-Length: 1\r\n\r\nx";
}

auto Done() -> std::string {
  return Answer("200 OK\r\nId: req-1\r\nSigned: x", "done");
}

// Returns how often `text` stands in `head`, in any case.
auto CountOf(const std::string& head, const std::string& text) -> std::size_t {
  const auto lower = ToLower(head);
  std::size_t count = 0;
  for (auto at = lower.find(text); at != std::string::npos;
       at = lower.find(text, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

// Guards against keys that reach a target, and against callers who name a team
// themselves.
Test(caller_team, targets_get_the_team_and_never_the_key) {
  UpstreamFake upstream(Always(Done()));
  GatewayFixture gateway({upstream.port()});
  gateway.Publish({upstream.port()}, true, MakeTeams());
  struct Case {
    std::string path;
    std::string headers;
    // Line that the target must get; none if empty.
    std::string team;
  };
  const std::vector<Case> cases = {
      {"/once/1", "Key: key-1\r\n", "team: one\r\n"},
      {"/once/1", "kEY: \t key-1b \t\r\nTEAM: two\r\nteam: three\r\n",
       "team: one\r\n"},
      {"/once/1", "Key: key-2\r\nKEY: key-2\r\nTeam: one\r\n", "team: two\r\n"},
      {"/once/1", "Team: one\r\nConnection: Team\r\nKey: key-2\r\n",
       "team: two\r\n"},
      {"/public/1", "key: key-2\r\nTeam: one\r\n", "team: two\r\n"},
      {"/public/1", "Team: one\r\n", ""},
      {"/public/1", "Key: key-9\r\nTeam: one\r\n", ""},
      {"/public/1", "Key: key-1\r\nKey: key-2\r\n", ""},
  };
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const auto& each = cases[i];
    cr_assert_eq(
        gateway.Exchange(RequestWith(each.path, each.headers)).status(), 200,
        "%s", each.headers.c_str());
    const auto head = upstream.request(i).head;
    cr_expect_eq(CountOf(head, "key"), 0U, "%s", head.c_str());
    cr_expect_eq(CountOf(head, "\nteam:"), each.team.empty() ? 0U : 1U, "%s",
                 head.c_str());
    cr_expect_eq(CountOf(head, each.team.empty() ? "\nteam:" : each.team),
                 each.team.empty() ? 0U : 1U, "%s", head.c_str());
  }
}

// Guards against running a request of nobody, and against answers that a caller
// may take for "run".
Test(caller_team, requests_without_a_key_of_a_team_are_unauthorized) {
  UpstreamFake upstream(Always(Done()));
  GatewayFixture gateway({upstream.port()});
  gateway.Publish({upstream.port()}, true, MakeTeams());
  auto socket = gateway.Connect();
  for (const std::string headers :
       {"", "Key:\r\n", "Key: key-9\r\n", "Key: KEY-1\r\n",
        "Key: key-1\r\nkey: key-2\r\n", "Key: key-1, key-1\r\n",
        "Team: one\r\n"}) {
    cr_assert(socket.Write(RequestWith("/once/1", headers)));
    const auto answer = socket.ReadMessage();
    cr_assert(answer.has_value());
    cr_expect_eq(answer->status(), 401, "%s", headers.c_str());
    cr_expect(answer->header("Flamingoyoke-Outcome") == "not-run");
    cr_expect(answer->header("Flamingoyoke-Error") == "unauthorized");
    cr_expect_eq((answer->head + answer->body).find("key-"), std::string::npos);
  }
  // A path without a route stays unknown, whatever the key.
  cr_expect_eq(gateway.Exchange(RequestWith("/none/1", "")).status(), 404);
  cr_assert_eq(upstream.executions(), 0U);
}

// Guards against a change for users without teams: headers with these names
// are theirs.
Test(caller_team, without_a_table_headers_pass_through) {
  UpstreamFake upstream(Always(Done()));
  GatewayFixture gateway({upstream.port()});
  cr_assert_eq(gateway.Exchange(RequestWith("/once/1", "Key: k\r\nTeam: t\r\n"))
                   .status(),
               200);
  const auto head = upstream.request(0).head;
  cr_expect_eq(CountOf(head, "key: k"), 1U);
  cr_expect_eq(CountOf(head, "team: t"), 1U);
}

// Guards against a key that works on an open connection after it was taken
// away.
Test(caller_team, a_new_version_applies_to_open_connections) {
  UpstreamFake upstream(Always(Done()));
  GatewayFixture gateway({upstream.port()});
  gateway.Publish({upstream.port()}, true, MakeTeams());
  auto socket = gateway.Connect();
  const auto request = RequestWith("/once/1", "Key: key-2\r\n");
  cr_assert(socket.Write(request));
  cr_assert_eq(socket.ReadMessage()->status(), 200);
  auto teams = MakeTeams();
  teams.back().keys = {"key-3"};
  gateway.Publish({upstream.port()}, true, teams);
  // The version is in force once a later connection is served; a request that
  // is read in the same turn of the loop may still come before it.
  cr_assert_eq(gateway.Exchange(RequestWith("/none/1", "")).status(), 404);
  cr_assert(socket.Write(request));
  cr_assert_eq(socket.ReadMessage()->status(), 401);
  cr_assert(socket.Write(RequestWith("/once/1", "Key: key-3\r\n")));
  cr_assert_eq(socket.ReadMessage()->status(), 200);
  cr_assert_eq(upstream.executions(), 2U);
}

// Guards against running a request whose key moved to another team or was
// taken away while it waited for a slot, and against cutting off those that
// run.
Test(caller_team, a_new_version_applies_to_waiting_requests) {
  std::promise<void> release;
  const auto released = release.get_future().share();
  UpstreamFake upstream(
      [released](const UpstreamFake::Request&, TestSocket& socket) {
        released.wait();
        return socket.Write(Done());
      });
  GatewayFixture gateway({upstream.port()}, MakeGatewayConfig(), true, 1);
  gateway.Publish({upstream.port()}, true, MakeTeams());
  auto running = gateway.Connect();
  cr_assert(running.Write(RequestWith("/once/1", "Key: key-1\r\n")));
  cr_assert(upstream.WaitForExecutions(1));
  auto moved = gateway.Connect();
  cr_assert(moved.Write(RequestWith("/once/2", "Key: key-1b\r\n")));
  auto removed = gateway.Connect();
  cr_assert(removed.Write(RequestWith("/once/3", "Key: key-2\r\n")));
  auto open = gateway.Connect();
  cr_assert(open.Write(RequestWith("/public/4", "Key: key-2\r\n")));
  // The gateway has read the requests before it handles the next version, since
  // it answers this one.
  cr_assert_eq(gateway.Exchange(RequestWith("/none/1", "")).status(), 404);
  auto teams = MakeTeams();
  teams[0].keys = {};
  teams[1].keys = {"key-1b"};
  gateway.Publish({upstream.port()}, true, teams);
  cr_assert_eq(moved.ReadMessage()->status(), 401);
  const auto answer = removed.ReadMessage();
  cr_assert_eq(answer->status(), 401);
  cr_assert(answer->header("Flamingoyoke-Outcome") == "not-run");
  release.set_value();
  cr_assert_eq(running.ReadMessage()->status(), 200);
  cr_assert_eq(open.ReadMessage()->status(), 200);
  cr_assert_eq(upstream.executions(), 2U);
  cr_assert_eq(CountOf(upstream.request(1).head, "team:"), 0U);
}

}  // namespace flamingoyoke
