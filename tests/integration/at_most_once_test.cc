#include <criterion/criterion.h>

#include <csignal>
#include <string>
#include <vector>

#include "integration/support/fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(at_most_once, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr std::size_t kVmCount = 4;
// Eight orders fit into the own and borrowed slots of VM 0 within the deadline
// of 2 s. The service time leaves time to send a signal while they run.
constexpr int kOrderCount = 8;
constexpr int kServiceMs = 400;

// Starts a fleet and sends non-repeatable requests to VM 0. They are in flight
// when the constructor returns.
struct OrdersInFlight {
  explicit OrdersInFlight(BlockingHttp& http)
      : upstreams(StartUpstreams(4, {"--slots", "8"})), fleet(kVmCount) {
    fleet.PublishVms(http);
    fleet.platform().Publish(
        http, "table", ExampleTable("association.csv", PortsOf(upstreams)));
    fleet.StartAll();
    cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
    const auto port = fleet.vm(0).caller_port();
    for (int index = 0; index < kOrderCount; ++index) {
      WorkOrder order{"/orders", "order-" + std::to_string(index), kServiceMs};
      order.body = "sacks";
      order.key = IssueKey(http, port, "order-booking");
      cr_assert_not(order.key.empty());
      orders.push_back(order);
      http.StartCall(ToCall(order, port));
    }
    BlockingHttp other;
    cr_assert(WaitUntil(
        [&] {
          http.RunFor(std::chrono::milliseconds(1));
          return TotalExecuted(other) > 0;
        },
        kFleetTimeout));
  }

  auto TotalExecuted(BlockingHttp& http) -> int {
    int total = 0;
    for (const auto& upstream : upstreams) {
      total += upstream->Counters(http)["executed"].get<int>();
    }
    return total;
  }

  // Checks that each order ran at most once and that the status and the outcome
  // header of its answer agree with the number of executions.
  auto CheckOutcomes(BlockingHttp& http, const std::vector<HttpAnswer>& answers)
      -> void {
    for (std::size_t index = 0; index < answers.size(); ++index) {
      const auto& order = orders[index % orders.size()];
      const auto& answer = answers[index];
      const auto runs = CountExecutions(http, upstreams, order.id);
      const auto outcome = answer.Header("Flamingoyoke-Outcome");
      cr_assert_leq(runs, 1, "%s ran %d times", order.id.c_str(), runs);
      if (answer.status == 200) {
        cr_assert_eq(answer.body, ExpectedBody(order));
      }
      if (answer.status == 200 || outcome == "run") {
        cr_assert_eq(runs, 1, "%s is reported as run", order.id.c_str());
      }
      if (outcome == "not-run") {
        cr_assert_eq(runs, 0, "%s is reported as not run", order.id.c_str());
      }
    }
  }

  std::vector<std::unique_ptr<Upstream>> upstreams;
  Fleet fleet;
  std::vector<WorkOrder> orders;
};

// Guards against duplicate execution when callers retry the requests of a
// killed VM through another VM.
Test(at_most_once, killed_vm) {
  BlockingHttp http;
  OrdersInFlight flight(http);
  flight.fleet.vm(0).process().Signal(SIGKILL);
  const auto first = http.WaitForAll();
  flight.CheckOutcomes(http, first);
  BlockingHttp control;
  cr_assert(WaitUntil(
      [&] {
        const auto report = flight.fleet.vm(1).Report(control);
        for (const auto& member : report["members"]) {
          if (member["vm"] == "vm-0") {
            return member["liveness"] == "dead";
          }
        }
        return true;
      },
      kFleetTimeout));
  for (const auto& order : flight.orders) {
    http.StartCall(ToCall(order, flight.fleet.vm(1).caller_port()));
  }
  const auto second = http.WaitForAll();
  for (const auto& answer : second) {
    cr_assert_eq(answer.status, 409, "status %d", answer.status);
    cr_assert_eq(answer.Header("Flamingoyoke-Outcome"), "unknown");
  }
  flight.CheckOutcomes(http, second);
}

// Guards against duplicate execution by a VM that is paused for longer than its
// leases and then continues with expired loans and queued requests.
Test(at_most_once, paused_vm) {
  BlockingHttp http;
  OrdersInFlight flight(http);
  flight.fleet.vm(0).process().Signal(SIGSTOP);
  BlockingHttp control;
  const bool is_missed = WaitUntil(
      [&] {
        const auto report = flight.fleet.vm(1).Report(control);
        for (const auto& member : report["members"]) {
          if (member["vm"] == "vm-0") {
            return member["liveness"] != "alive";
          }
        }
        return true;
      },
      kFleetTimeout);
  flight.fleet.vm(0).process().Signal(SIGCONT);
  cr_assert(is_missed, "the paused VM is still reported alive");
  flight.CheckOutcomes(http, http.WaitForAll());
  cr_assert(flight.fleet.WaitForRevision(http, 1), "the VM does not recover");
}

// Guards against duplicate execution when a key is sent again to the VM that
// issued it or to another VM.
Test(at_most_once, repeated_key) {
  BlockingHttp http;
  OrdersInFlight flight(http);
  const auto first = http.WaitForAll();
  for (const auto& answer : first) {
    cr_assert_eq(answer.status, 200, "status %d", answer.status);
  }
  flight.CheckOutcomes(http, first);
  for (const std::size_t vm : {0, 1}) {
    for (const auto& order : flight.orders) {
      http.StartCall(ToCall(order, flight.fleet.vm(vm).caller_port()));
    }
    const auto answers = http.WaitForAll();
    for (const auto& answer : answers) {
      const auto expected = vm == 0 ? 200 : 307;
      cr_assert_eq(answer.status, expected, "status %d", answer.status);
    }
    flight.CheckOutcomes(http, answers);
  }
}

// Guards against duplicate execution of requests whose keys were issued before
// all VMs restarted.
Test(at_most_once, all_vms_restarted) {
  BlockingHttp http;
  OrdersInFlight flight(http);
  for (std::size_t index = 0; index < kVmCount; ++index) {
    flight.fleet.vm(index).process().Signal(SIGKILL);
  }
  flight.CheckOutcomes(http, http.WaitForAll());
  flight.fleet.StartAll();
  cr_assert(flight.fleet.WaitForRevision(http, 1), "the fleet does not return");
  for (const auto& order : flight.orders) {
    http.StartCall(ToCall(order, flight.fleet.vm(0).caller_port()));
  }
  const auto answers = http.WaitForAll();
  for (const auto& answer : answers) {
    cr_assert_eq(answer.status, 409, "status %d", answer.status);
    cr_assert_eq(answer.Header("Flamingoyoke-Outcome"), "unknown");
  }
  flight.CheckOutcomes(http, answers);
  WorkOrder lookup{"/stock", "after-restart"};
  const auto port = flight.fleet.vm(0).caller_port();
  cr_assert_eq(http.Send(ToCall(lookup, port)).body, ExpectedBody(lookup));
}

}  // namespace
}  // namespace flamingoyoke::integration
