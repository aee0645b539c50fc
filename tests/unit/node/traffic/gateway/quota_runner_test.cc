#include "node/traffic/gateway/quota_runner.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "unit/node/traffic/gateway/gateway_fixture.h"

namespace flamingoyoke {
namespace {

TestSuite(quota_runner, .timeout = 120);

auto KeyRequest(const std::string& path, const std::string& key)
    -> std::string {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft-Ms: 15000\r\n" +
         (key.empty() ? "" : "Key: " + key + "\r\n") +
         "Content-Length: 0\r\n\r\n";
}

// Load: 100 requests of a limited team at once, beside a team without a quota
// and a public route. Guards against requests over a quota that run or are
// answered as if they had, without a Retry-After, and against limits for
// others. This VM is the only gateway, so it is the keeper too.
Test(quota_runner, requests_over_the_quota_get_429) {
  // An answer without these headers would count as that of another request.
  UpstreamFake upstream(
      Always(Answer("200 OK\r\nId: 1\r\nSigned: yes", "done")));
  GatewayFixture gateway({upstream.port()});
  gateway.Publish({upstream.port()}, true,
                  std::vector<Team>{
                      {.id = TeamId("free"), .keys = {"key-f"}},
                      {.id = TeamId("small"),
                       .keys = {"key-s"},
                       .quota = {.requests_per_second = 2, .burst = 4}},
                  });
  auto socket = gateway.Connect();
  std::size_t ran = 0;
  std::size_t refused = 0;
  for (int i = 0; i < 100; ++i) {
    cr_assert(socket.Write(KeyRequest("/once/1", "key-s")));
    const auto answer = socket.ReadMessage();
    cr_assert(answer.has_value());
    if (answer->status() == 200) {
      ++ran;
      continue;
    }
    ++refused;
    cr_expect_eq(answer->status(), 429);
    cr_expect(answer->header("Flamingoyoke-Outcome") == "not-run");
    cr_expect(answer->header("Flamingoyoke-Error") == "team-limit");
    cr_expect(answer->header("Retry-After").has_value());
  }
  cr_assert_gt(ran, 0U);
  cr_assert_gt(refused, 0U);
  // All this takes less than 5 s.
  cr_assert_leq(ran, 37U, "%zu ran", ran);
  cr_assert_eq(upstream.executions(), ran);
  for (int i = 0; i < 50; ++i) {
    for (const auto& request :
         {KeyRequest("/once/1", "key-f"), KeyRequest("/public/1", "key-s"),
          KeyRequest("/public/1", "")}) {
      cr_assert(socket.Write(request));
      cr_assert_eq(socket.ReadMessage()->status(), 200);
    }
  }
}

}  // namespace
}  // namespace flamingoyoke
