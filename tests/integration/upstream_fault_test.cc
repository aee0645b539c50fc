#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "integration/support/fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(upstream_fault, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr std::size_t kVmCount = 2;
constexpr int kBatchSize = 20;
constexpr auto kDrainTimeLimit = std::chrono::seconds(2);

// A fleet whose first target is reached through a fault-injecting proxy.
struct ProxiedFleet {
  explicit ProxiedFleet(BlockingHttp& http)
      : upstreams(StartUpstreams(4, {"--slots", "4"})),
        proxy(upstreams[0]->port()),
        fleet(kVmCount) {
    auto ports = PortsOf(upstreams);
    ports[0] = proxy.port();
    fleet.PublishVms(http);
    fleet.platform().Publish(http, "table",
                             ExampleTable("association.csv", ports));
    fleet.StartAll();
    cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  }

  // Sends a batch of lookups and returns the number of successful answers.
  // Checks that each successful answer has the expected body and that no
  // request reported as not run was executed.
  auto SendBatch(BlockingHttp& http) -> int {
    std::vector<WorkOrder> orders;
    for (int index = 0; index < kBatchSize; ++index) {
      orders.push_back({"/stock", "lookup-" + std::to_string(next_id++), 5});
      http.StartCall(ToCall(
          orders.back(),
          fleet.vm(static_cast<std::size_t>(index) % kVmCount).caller_port()));
    }
    const auto answers = http.WaitForAll();
    int correct_count = 0;
    for (std::size_t index = 0; index < answers.size(); ++index) {
      const auto& answer = answers[index];
      if (answer.status == 200) {
        cr_assert_eq(answer.body, ExpectedBody(orders[index]));
        ++correct_count;
      }
      if (answer.Header("Flamingoyoke-Outcome") == "not-run") {
        cr_assert_eq(CountExecutions(http, upstreams, orders[index].id), 0,
                     "%s", orders[index].id.c_str());
      }
    }
    return correct_count;
  }

  // Sends batches until every request of one batch succeeds; returns false on
  // timeout.
  auto WaitForFullBatch(BlockingHttp& http) -> bool {
    return WaitUntil([&] { return SendBatch(http) == kBatchSize; },
                     kFleetTimeout);
  }

  std::vector<std::unique_ptr<Upstream>> upstreams;
  Proxy proxy;
  Fleet fleet;
  int next_id = 0;
};

// Returns whether the report of a VM lists a target whose state is `state`.
auto HasTargetInState(BlockingHttp& http,
                      Fleet& fleet,
                      const std::string& state) -> bool {
  for (std::size_t index = 0; index < fleet.size(); ++index) {
    const auto report = fleet.vm(index).Report(http);
    for (const auto& service : report["services"]) {
      for (const auto& target : service["targets"]) {
        if (target["state"] == state) {
          return true;
        }
      }
    }
  }
  return false;
}

// Guards against connections that have permanently stopped delivering data
// staying in use while new connections work.
Test(upstream_fault, silent_connections_are_replaced) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.proxy.Inject(http, "kind=silent");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
}

// Guards against a target that passes health probes but fails requests staying
// in use.
Test(upstream_fault, gray_target_is_ejected) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.upstreams[0]->SetBehaviour(http,
                                     R"({"gray_share": 1, "health": "up"})");
  BlockingHttp control;
  cr_assert(WaitUntil(
                [&] {
                  proxied.SendBatch(http);
                  return HasTargetInState(control, proxied.fleet, "ejected");
                },
                kFleetTimeout),
            "the gray target is not ejected");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
}

// Guards against new requests to a target that signals draining.
Test(upstream_fault, draining_target_gets_no_new_work) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.upstreams[0]->SetBehaviour(http, R"({"drain": true})");
  const auto first = proxied.upstreams[0]->Counters(http)["received"];
  cr_assert(WaitUntil(
                [&] {
                  proxied.SendBatch(http);
                  return proxied.upstreams[0]->Counters(http)["received"] !=
                         first;
                },
                kFleetTimeout),
            "no request reached the draining target");
  http.RunFor(kDrainTimeLimit);
  const auto before = proxied.upstreams[0]->Counters(http)["received"];
  for (int batch = 0; batch < 5; ++batch) {
    cr_assert_eq(proxied.SendBatch(http), kBatchSize);
  }
  cr_assert_eq(proxied.upstreams[0]->Counters(http)["received"], before);
}

// Guards against requests whose answers are lost being reported as not run, and
// against a target that cannot send answers staying in use.
Test(upstream_fault, one_way_cut_is_detected_and_heals) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.proxy.Inject(http, "kind=cut&direction=to-client");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
  proxied.proxy.Inject(http, "kind=none");
  cr_assert(proxied.WaitForFullBatch(http));
}

// Guards against truncated answers being forwarded as complete.
Test(upstream_fault, partial_answers_are_never_passed_on) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.proxy.Inject(http, "kind=partial&direction=to-client&bytes=120");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
}

}  // namespace
}  // namespace flamingoyoke::integration
