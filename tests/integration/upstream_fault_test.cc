#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "integration/support/fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(upstream_fault, .fini = &ChildProcess::EndAll, .timeout = 300);

constexpr std::size_t kVms = 2;
constexpr int kBatch = 20;
constexpr auto kLeavingBound = std::chrono::seconds(2);

// A fleet whose first target is reached through a fault-injecting proxy.
struct ProxiedFleet {
  explicit ProxiedFleet(BlockingHttp& http)
      : upstreams(StartUpstreams(4, {"--slots", "4"})),
        proxy(upstreams[0]->port()),
        fleet(kVms) {
    auto ports = PortsOf(upstreams);
    ports[0] = proxy.port();
    fleet.PublishVms(http);
    fleet.platform().Publish(http, "table",
                             ExampleTable("association.csv", ports));
    fleet.StartAll();
    cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  }

  // Sends a batch of lookups and returns the number of right answers. Checks
  // that no answer is wrong and no outcome untrue.
  auto SendBatch(BlockingHttp& http) -> int {
    std::vector<WorkOrder> orders;
    for (int index = 0; index < kBatch; ++index) {
      orders.push_back({"/stock", "lookup-" + std::to_string(next_id++), 5});
      http.Begin(ToCall(
          orders.back(),
          fleet.vm(static_cast<std::size_t>(index) % kVms).caller_port()));
    }
    const auto answers = http.WaitForAll();
    int right = 0;
    for (std::size_t index = 0; index < answers.size(); ++index) {
      const auto& answer = answers[index];
      if (answer.status == 200) {
        cr_assert_eq(answer.body, RightAnswer(orders[index]));
        ++right;
      }
      if (answer.Header("Flamingoyoke-Outcome") == "not-run") {
        cr_assert_eq(Executions(http, upstreams, orders[index].id), 0, "%s",
                     orders[index].id.c_str());
      }
    }
    return right;
  }

  // Sends batches until all answers of one are right.
  auto WaitForFullBatch(BlockingHttp& http) -> bool {
    return WaitUntil([&] { return SendBatch(http) == kBatch; }, kFleetLimit);
  }

  std::vector<std::unique_ptr<Upstream>> upstreams;
  Proxy proxy;
  Fleet fleet;
  int next_id = 0;
};

// Returns whether the report of a vm lists a target whose state is `state`.
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

// Guards against connections that have gone silent for good staying in use
// while new ones work.
Test(upstream_fault, silent_connections_are_replaced) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.proxy.Inject(http, "kind=silent");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
}

// Guards against a target that passes probes and fails real work staying in
// use.
Test(upstream_fault, gray_target_is_ejected) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.upstreams[0]->Behave(http, R"({"gray_share": 1, "health": "up"})");
  BlockingHttp control;
  cr_assert(WaitUntil(
                [&] {
                  proxied.SendBatch(http);
                  return HasTargetInState(control, proxied.fleet, "ejected");
                },
                kFleetLimit),
            "the gray target is not ejected");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
}

// Guards against new work on a target that says it is draining.
Test(upstream_fault, draining_target_gets_no_new_work) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.upstreams[0]->Behave(http, R"({"drain": true})");
  const auto first = proxied.upstreams[0]->Counters(http)["received"];
  cr_assert(WaitUntil(
                [&] {
                  proxied.SendBatch(http);
                  return proxied.upstreams[0]->Counters(http)["received"] !=
                         first;
                },
                kFleetLimit),
            "no work reached the target that could carry the signal");
  http.RunFor(kLeavingBound);
  const auto before = proxied.upstreams[0]->Counters(http)["received"];
  for (int batch = 0; batch < 5; ++batch) {
    cr_assert_eq(proxied.SendBatch(http), kBatch);
  }
  cr_assert_eq(proxied.upstreams[0]->Counters(http)["received"], before);
}

// Guards against answers that are lost in one direction being told as not run,
// and against a cut target staying in use.
Test(upstream_fault, one_way_cut_is_detected_and_heals) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.proxy.Inject(http, "kind=cut&direction=to-client");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
  proxied.proxy.Inject(http, "kind=none");
  cr_assert(proxied.WaitForFullBatch(http));
}

// Guards against cut-off answers being passed on as whole ones.
Test(upstream_fault, partial_answers_are_never_passed_on) {
  BlockingHttp http;
  ProxiedFleet proxied(http);
  cr_assert(proxied.WaitForFullBatch(http));
  proxied.proxy.Inject(http, "kind=partial&direction=to-client&bytes=120");
  cr_assert(proxied.WaitForFullBatch(http), "requests still fail");
}

}  // namespace
}  // namespace flamingoyoke::integration
