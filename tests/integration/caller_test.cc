#include <criterion/criterion.h>

#include <set>
#include <string>
#include <vector>

#include "integration/support/fleet.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(caller, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr std::size_t kVmCount = 4;
constexpr std::size_t kTargetCount = 4;
constexpr int kOrderCount = 12;

// One service of an example table.
struct ExampleService {
  std::string name;
  std::string path;
  bool needs_key;
  std::string body;
};

// A running fleet that has applied an example table.
struct RunningFleet {
  RunningFleet(BlockingHttp& http, const std::string& table)
      : upstreams(StartUpstreams(kTargetCount)), fleet(kVmCount) {
    fleet.PublishVms(http);
    fleet.platform().Publish(http, "table",
                             ExampleTable(table, PortsOf(upstreams)));
    fleet.StartAll();
    cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  }

  std::vector<std::unique_ptr<Upstream>> upstreams;
  Fleet fleet;
};

// Sends orders to the first address that is given for `service` and checks
// answers, outcomes and executions.
auto CheckService(BlockingHttp& http,
                  RunningFleet& running,
                  const ExampleService& service) -> void {
  const auto entry = running.fleet.vm(0).caller_port();
  const auto answer =
      http.Get(entry, "/.flamingoyoke/addresses?service=" + service.name +
                          "&failure_domain=a");
  cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
  const auto json = nlohmann::json::parse(answer.body);
  cr_assert_geq(json["addresses"].size(), 1);
  const auto server =
      ParseEndpoint(json["addresses"][0]["address"].get<std::string>());
  const int port = server->endpoint.port;
  std::vector<WorkOrder> orders;
  for (int index = 0; index < kOrderCount; ++index) {
    WorkOrder order{service.path, service.name + std::to_string(index)};
    order.body = service.body;
    order.key = service.needs_key ? IssueKey(http, port, service.name) : "";
    orders.push_back(order);
  }
  for (const auto& order : orders) {
    http.StartCall(ToCall(order, port));
  }
  const auto answers = http.WaitForAll();
  for (std::size_t index = 0; index < orders.size(); ++index) {
    cr_assert_eq(answers[index].status, 200, "%s: %d %s",
                 orders[index].id.c_str(), answers[index].status,
                 answers[index].Header("Flamingoyoke-Error").c_str());
    cr_assert_eq(answers[index].body, ExpectedBody(orders[index]));
    cr_assert_eq(answers[index].Header("Flamingoyoke-Outcome"), "run");
    cr_assert_eq(CountExecutions(http, running.upstreams, orders[index].id), 1);
  }
}

// Guards against a service of the association that does not work end to end.
Test(caller, association_reaches_its_upstreams) {
  BlockingHttp http;
  RunningFleet running(http, "association.csv");
  CheckService(http, running, {"stock-lookup", "/stock/a", false, ""});
  CheckService(http, running, {"order-booking", "/orders", true, "200 sacks"});
  CheckService(
      http, running,
      {"manifest-intake", "/manifests", false, std::string(1'000'000, 'm')});
}

// Guards against a service of the builder that does not work end to end, or
// uploads that are damaged on the way.
Test(caller, builder_reaches_its_upstreams) {
  BlockingHttp http;
  RunningFleet running(http, "builder.csv");
  CheckService(http, running, {"catalogue", "/catalogue", false, ""});
  CheckService(http, running, {"order-ledger", "/ledger", true, "deposit"});
  CheckService(
      http, running,
      {"design-desk", "/designs/1", false, std::string(2'000'000, 'p')});
}

// Guards against forwarding requests without a required idempotency key or
// without a matching route to an upstream.
Test(caller, refused_requests_reach_no_upstream) {
  BlockingHttp http;
  RunningFleet running(http, "association.csv");
  const auto port = running.fleet.vm(0).caller_port();
  WorkOrder without_key{"/orders", "without-key"};
  without_key.body = "x";
  const auto refused = http.Send(ToCall(without_key, port));
  cr_assert_eq(refused.status, 428);
  cr_assert_eq(refused.Header("Flamingoyoke-Outcome"), "not-run");
  WorkOrder without_route{"/nowhere", "without-route"};
  const auto not_found = http.Send(ToCall(without_route, port));
  cr_assert_eq(not_found.status, 404);
  cr_assert_eq(not_found.Header("Flamingoyoke-Outcome"), "not-run");
  for (const auto* id : {"without-key", "without-route"}) {
    cr_assert_eq(CountExecutions(http, running.upstreams, id), 0, "%s", id);
  }
}

}  // namespace
}  // namespace flamingoyoke::integration
