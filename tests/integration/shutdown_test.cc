#include <criterion/criterion.h>

#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include "integration/support/fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(shutdown, .fini = &ChildProcess::KillAll, .timeout = 300);

constexpr std::size_t kVmCount = 3;
constexpr int kUploadCount = 12;
constexpr std::size_t kUploadBytes = 2'000'000;

struct TimedSignal {
  int signal;
  std::chrono::milliseconds pause_before;
};

// Sends `signals` to a VM while long uploads are running and others are queued,
// and checks that each upload is answered or was not run.
auto CheckStopDuringUploads(const std::vector<TimedSignal>& signals) -> void {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(2, {"--slots", "2"});
  Fleet fleet(kVmCount);
  fleet.PublishVms(http);
  fleet.platform().Publish(http, "table",
                           ExampleTable("builder.csv", PortsOf(upstreams)));
  fleet.StartAll();
  cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  std::vector<WorkOrder> orders;
  for (int index = 0; index < kUploadCount; ++index) {
    WorkOrder order{"/designs/1", "upload-" + std::to_string(index), 500};
    order.body = std::string(kUploadBytes, static_cast<char>('a' + index));
    orders.push_back(order);
    http.StartCall(ToCall(order, fleet.vm(0).caller_port()));
  }
  BlockingHttp control;
  cr_assert(WaitUntil(
      [&] {
        http.RunFor(std::chrono::milliseconds(1));
        return upstreams[0]->Counters(control)["executed"].get<int>() +
                   upstreams[1]->Counters(control)["executed"].get<int>() >
               0;
      },
      kFleetTimeout));
  for (const auto& [signal, pause_before] : signals) {
    http.RunFor(pause_before);
    fleet.vm(0).process().Signal(signal);
  }
  const auto answers = http.WaitForAll();
  for (std::size_t index = 0; index < answers.size(); ++index) {
    const auto& answer = answers[index];
    const auto runs = CountExecutions(control, upstreams, orders[index].id);
    // An upload that was still incomplete when the VM stopped receiving may be
    // rejected, but must not have run.
    if (answer.status != 200) {
      cr_assert_eq(answer.Header("Flamingoyoke-Outcome"), "not-run", "%d",
                   answer.status);
      cr_assert_eq(runs, 0);
      continue;
    }
    cr_assert_eq(answer.body, ExpectedBody(orders[index]));
    cr_assert_eq(runs, 1);
  }
  cr_assert_eq(fleet.vm(0).process().WaitForExit(kFleetTimeout), 0);
}

// Guards against a graceful shutdown that aborts requests in flight.
Test(shutdown, sigterm_cuts_nothing_off) {
  CheckStopDuringUploads({{SIGTERM, std::chrono::milliseconds(0)}});
}

// Guards against a further signal during a graceful shutdown that aborts the
// requests in flight.
Test(shutdown, repeated_signals_cut_nothing_off) {
  using std::chrono::milliseconds;
  CheckStopDuringUploads({{SIGTERM, milliseconds(0)},
                          {SIGTERM, milliseconds(40)},
                          {SIGHUP, milliseconds(20)},
                          {SIGINT, milliseconds(60)},
                          {SIGTERM, milliseconds(100)}});
}

// Guards against address lists that still contain a VM that has shut down.
Test(shutdown, leaving_vm_is_not_handed_out) {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(2);
  Fleet fleet(kVmCount);
  fleet.PublishVms(http);
  fleet.platform().Publish(http, "table",
                           ExampleTable("association.csv", PortsOf(upstreams)));
  fleet.StartAll();
  cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  fleet.vm(0).process().Signal(SIGTERM);
  cr_assert_eq(fleet.vm(0).process().WaitForExit(kFleetTimeout), 0);
  const auto answer = http.Get(fleet.vm(1).caller_port(),
                               "/.flamingoyoke/addresses?service=stock-lookup");
  cr_assert_eq(answer.status, 200);
  cr_assert_eq(answer.body.find("\"vm-0\""), std::string::npos, "%s\n%s",
               answer.body.c_str(), fleet.vm(1).Report(http).dump().c_str());
}

}  // namespace
}  // namespace flamingoyoke::integration
