// Tests idempotency keys in the traffic task over loopback sockets.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

auto MakeKeyedRow(std::uint16_t port) -> ServiceRow {
  auto row = MakeRow("orders", {port});
  row.repeatable = false;
  row.key_policy = KeyPolicy::kRequired;
  return row;
}

auto KeyHeader(const std::string& key) -> std::string {
  return "Flamingoyoke-Key: " + key + "\r\n";
}

// A retry with the same key must get the first response without running again.
Test(keyed_work, repeat_gets_the_same_answer) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeKeyedRow(upstream.port())});
  const auto key = node.GetKey("orders");
  const auto request = PostRequest("/orders", "book", KeyHeader(key));
  for (int i = 0; i < 3; ++i) {
    const auto answer = node.Exchange(request);
    cr_assert_eq(answer.status(), 200);
    cr_assert_eq(answer.body, std::string("book"));
    cr_assert(answer.header("X-Own") == "1");
    cr_assert(answer.header("Flamingoyoke-Outcome") == "run");
  }
  cr_assert_eq(upstream.executions(), 1U);
  const TestSocket::Message seen{upstream.request(0).head, "", true};
  cr_assert(seen.header("Flamingoyoke-Key") == key);
}

// A response above the size limit is not stored. A retry must get an error that
// reports the request as run.
Test(keyed_work, large_answer_is_not_kept) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    return socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" +
                        std::string(20000, 'x'));
  });
  TrafficFixture node({MakeKeyedRow(upstream.port())});
  const auto request =
      PostRequest("/orders", "book", KeyHeader(node.GetKey("orders")));
  cr_assert_eq(node.Exchange(request).body.size(), 20000U);
  const auto repeat = node.Exchange(request);
  cr_assert_eq(repeat.status(), 409);
  cr_assert(repeat.header("Flamingoyoke-Outcome") == "run");
  cr_assert_eq(upstream.executions(), 1U);
}

// A caller disconnects while its request runs and retries. The request must not
// run again, and its response must be stored.
Test(keyed_work, work_outlives_its_caller) {
  UpstreamFake* self = nullptr;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        self->WaitForRelease();
        return EchoScript()(request, socket);
      });
  self = &upstream;
  TrafficFixture node({MakeKeyedRow(upstream.port())});
  const auto request =
      PostRequest("/orders", "book", KeyHeader(node.GetKey("orders")));
  auto caller = node.Connect();
  cr_assert(caller.Write(request));
  cr_assert(upstream.WaitForExecutions(1));
  caller.Close();
  const auto repeat = node.Exchange(request);
  cr_assert_eq(repeat.status(), 409);
  cr_assert(repeat.header("Flamingoyoke-Error") == "key-in-flight");
  upstream.Release();
  auto answer = node.Exchange(request);
  while (answer.status() == 409) {
    answer = node.Exchange(request);
  }
  cr_assert_eq(answer.body, std::string("book"));
  cr_assert_eq(upstream.executions(), 1U);
}

// After a connection reset the outcome is unknown, so a retry must not run the
// request again.
Test(keyed_work, unknown_outcome_is_not_run_again) {
  UpstreamFake upstream([](const UpstreamFake::Request&, TestSocket& socket) {
    socket.Reset();
    return false;
  });
  TrafficFixture node({MakeKeyedRow(upstream.port())});
  const auto request =
      PostRequest("/orders", "book", KeyHeader(node.GetKey("orders")));
  for (int i = 0; i < 3; ++i) {
    const auto answer = node.Exchange(request);
    cr_assert_eq(answer.status(), 502);
    cr_assert(answer.header("Flamingoyoke-Outcome") == "unknown");
  }
  cr_assert_eq(upstream.executions(), 1U);
}

// A request that the upstream refused must be able to run with the same key
// later.
Test(keyed_work, shed_work_releases_its_key) {
  std::atomic<bool> busy = true;
  UpstreamFake upstream(
      [&](const UpstreamFake::Request& request, TestSocket& socket) {
        if (busy) {
          return socket.Write(
              "HTTP/1.1 503 Busy\r\nFlamingoyoke-Not-Run: 1\r\n"
              "Content-Length: 0\r\n\r\n");
        }
        return EchoScript()(request, socket);
      });
  TrafficFixture node({MakeKeyedRow(upstream.port())});
  const auto key = KeyHeader(node.GetKey("orders"));
  const auto shed = node.Exchange(PostRequest(
      "/orders", "book", key + "Flamingoyoke-Deadline-Ms: 100\r\n"));
  cr_assert(shed.header("Flamingoyoke-Outcome") == "not-run", "%s",
            shed.head.c_str());
  busy = false;
  const auto answer = node.Exchange(PostRequest("/orders", "book", key));
  cr_assert_eq(answer.status(), 200, "%s", answer.head.c_str());
}

// Missing, malformed, outdated and reused keys must be refused before the
// request runs.
Test(keyed_work, unusable_keys_are_refused) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeKeyedRow(upstream.port())});
  const auto error_for = [&](const std::string& headers) {
    return node.Exchange(PostRequest("/orders", "book", headers))
        .header("Flamingoyoke-Error")
        .value_or("none");
  };
  cr_assert_eq(error_for(""), std::string("key-required"));
  cr_assert_eq(error_for(KeyHeader("nonsense")), std::string("key-malformed"));
  cr_assert_eq(error_for(KeyHeader("vm-a-4-0-0000000000000001")),
               std::string("key-issuer-gone"));
  cr_assert_eq(error_for(KeyHeader("vm-a-5-9223372036854-0000000000000001")),
               std::string("key-malformed"));
  const auto key = node.GetKey("orders");
  cr_assert_eq(
      node.Exchange(PostRequest("/orders", "book", KeyHeader(key))).status(),
      200);
  cr_assert_eq(
      node.Exchange(PostRequest("/orders", "other", KeyHeader(key))).status(),
      400);
  cr_assert_eq(upstream.executions(), 1U);
}

// Only the VM that issued a key knows whether it was used. Other VMs must
// redirect the caller to it.
Test(keyed_work, keys_of_other_vms_are_redirected) {
  UpstreamFake upstream(EchoScript());
  TrafficFixture node({MakeKeyedRow(upstream.port())});
  auto live = TrafficFixture::MakeMember("vm-b", 7);
  live.address = "10.0.0.2:80";
  auto dead = TrafficFixture::MakeMember("vm-c", 7);
  dead.liveness = Liveness::kDead;
  node.view().members.push_back(live);
  node.view().members.push_back(dead);
  node.Publish();
  const auto request = [](const std::string& key) {
    return PostRequest("/orders?a=b", "book", KeyHeader(key));
  };
  // The task applies the view before it reads requests that are sent later.
  auto answer = node.Exchange(request("vm-b-7-1-0000000000000001"));
  cr_assert_eq(answer.status(), 307);
  cr_assert(answer.header("Location") == "http://10.0.0.2:80/orders?a=b");
  cr_assert(answer.header("Flamingoyoke-Outcome") == "unknown");
  // The incarnation that issued this key was replaced.
  answer = node.Exchange(request("vm-b-6-1-0000000000000001"));
  cr_assert_eq(answer.status(), 409);
  cr_assert(answer.header("Flamingoyoke-Outcome") == "unknown");
  for (const auto* key :
       {"vm-c-7-1-0000000000000001", "vm-d-7-1-0000000000000001"}) {
    cr_assert_eq(node.Exchange(request(key)).status(), 409);
  }
  cr_assert_eq(upstream.executions(), 0U);
}

}  // namespace
}  // namespace flamingoyoke
