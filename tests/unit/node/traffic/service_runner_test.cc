#include "node/traffic/service_runner.h"

#include <criterion/criterion.h>

#include <chrono>
#include <thread>
#include <variant>
#include <vector>

#include "unit/node/traffic/traffic_fixture.h"

namespace flamingoyoke {
namespace {

using std::chrono::milliseconds;

// Guards against deadlines and reports that wait until a busy VM has come to
// all its sockets.
Test(service_runner, timers_of_the_dispatcher_overtake_sockets_that_wait) {
  constexpr int kSockets = 300;
  EventLoop loop;
  const auto config = MakeConfig();
  AnswerMemory memory(config.answer_memory_bytes);
  ConnectionPart connections(Part::kTraffic, DescriptorUse::kTargets,
                             kUnlimitedConnections);
  int served = 0;
  std::vector<int> served_before_reports;
  ServiceRunner::Hooks hooks;
  hooks.send = [&](const PeerMessageToSend& message) {
    if (std::holds_alternative<LoadReport>(message.order.message)) {
      served_before_reports.push_back(served);
    }
  };
  ServiceRunner runner(loop, config, memory, connections, Random(1),
                       std::move(hooks));
  const auto row = MakeRow("stock", {TestListener().port()});
  ServicePlacement placement{row,
                             {{VmId("vm-a"), FailureDomainId("f1")},
                              {VmId("vm-b"), FailureDomainId("f2")}},
                             {row.targets.front().id}};
  runner.Configure(placement);
  cr_assert_eq(served_before_reports.size(), 1U);
  // Without slots, the next report is due 100 ms after the last one.
  placement.owned.clear();
  runner.Configure(placement);
  cr_assert_eq(served_before_reports.size(), 1U);
  std::vector<EventLoop::Handle> sockets(kSockets);
  for (auto& socket : sockets) {
    socket = loop.MakeTimer([&] {
      if (++served == kSockets) {
        loop.Quit();
      }
      std::this_thread::sleep_for(milliseconds(2));
    });
    socket.Schedule(Duration::zero());
  }
  loop.Run();
  cr_assert_eq(served_before_reports.size(), 2U);
  cr_expect_lt(served_before_reports.back(), kSockets / 2);
}

}  // namespace
}  // namespace flamingoyoke
