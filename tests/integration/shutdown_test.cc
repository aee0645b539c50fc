#include <criterion/criterion.h>

#include <csignal>
#include <string>
#include <vector>

#include "integration/support/fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(shutdown, .fini = &ChildProcess::EndAll, .timeout = 300);

constexpr std::size_t kVms = 3;
constexpr int kUploads = 12;
constexpr std::size_t kUploadBytes = 2'000'000;

// Guards against a graceful stop that cuts off requests in flight: long uploads
// that run and that wait for a slot when the signal comes.
Test(shutdown, sigterm_cuts_nothing_off) {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(2, {"--slots", "2"});
  Fleet fleet(kVms);
  fleet.PublishVms(http);
  fleet.platform().Publish(http, "table",
                           ExampleTable("builder.csv", PortsOf(upstreams)));
  fleet.StartAll();
  cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  std::vector<WorkOrder> orders;
  for (int index = 0; index < kUploads; ++index) {
    WorkOrder order{"/designs/1", "upload-" + std::to_string(index), 500};
    order.body = std::string(kUploadBytes, static_cast<char>('a' + index));
    orders.push_back(order);
    http.Begin(ToCall(order, fleet.vm(0).caller_port()));
  }
  BlockingHttp control;
  cr_assert(WaitUntil(
      [&] {
        http.RunFor(std::chrono::milliseconds(1));
        return upstreams[0]->Counters(control)["executed"].get<int>() +
                   upstreams[1]->Counters(control)["executed"].get<int>() >
               0;
      },
      kFleetLimit));
  fleet.vm(0).process().Signal(SIGTERM);
  const auto answers = http.WaitForAll();
  for (std::size_t index = 0; index < answers.size(); ++index) {
    const auto& answer = answers[index];
    const auto runs = Executions(control, upstreams, orders[index].id);
    // An upload that was not received whole when the vm closed may be refused,
    // but then it has not run.
    if (answer.status != 200) {
      cr_assert_eq(answer.Header("Flamingoyoke-Outcome"), "not-run", "%d",
                   answer.status);
      cr_assert_eq(runs, 0);
      continue;
    }
    cr_assert_eq(answer.body, RightAnswer(orders[index]));
    cr_assert_eq(runs, 1);
  }
  cr_assert_eq(fleet.vm(0).process().WaitForExit(kFleetLimit), 0);
}

// Guards against a leaving vm that is still handed to callers.
Test(shutdown, leaving_vm_is_not_handed_out) {
  BlockingHttp http;
  const auto upstreams = StartUpstreams(2);
  Fleet fleet(kVms);
  fleet.PublishVms(http);
  fleet.platform().Publish(http, "table",
                           ExampleTable("association.csv", PortsOf(upstreams)));
  fleet.StartAll();
  cr_assert(fleet.WaitForRevision(http, 1), "the fleet is not ready");
  fleet.vm(0).process().Signal(SIGTERM);
  cr_assert_eq(fleet.vm(0).process().WaitForExit(kFleetLimit), 0);
  const auto answer = http.Get(fleet.vm(1).caller_port(),
                               "/.flamingoyoke/addresses?service=stock-lookup");
  cr_assert_eq(answer.status, 200);
  cr_assert_eq(answer.body.find("\"vm-0\""), std::string::npos, "%s\n%s",
               answer.body.c_str(), fleet.vm(1).Report(http).dump().c_str());
}

}  // namespace
}  // namespace flamingoyoke::integration
