#include <criterion/criterion.h>
#include <sys/resource.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "integration/support/gateway_figures.h"
#include "integration/support/published_fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(lowered_descriptors, .fini = &ChildProcess::KillAll, .timeout = 120);

constexpr int kOk = 200;

}  // namespace

// Guards against a thread that spins while a lowered limit leaves no descriptor
// for peers, and against peers that stay cut off once the limit is raised.
Test(lowered_descriptors, lowered_limit_pauses_the_listener_for_peers) {
  constexpr int kDescriptors = 256;
  constexpr rlim_t kFewerThanInUse = 40;
  constexpr std::size_t kGateways = 4;
  PublishedStoreFleet fleet(
      {.targets = {{"orders", 2}}, .gateways = kGateways});
  const auto most = std::to_string(kDescriptors);
  fleet.SetLauncher(0, {"prlimit", "--nofile=" + most + ":" + most});
  fleet.PublishRoutes("r1", {"/book/"});
  for (std::size_t i = 0; i + 1 < kGateways; ++i) {
    fleet.StartGateway(i);
  }
  for (std::size_t i = 0; i + 1 < kGateways; ++i) {
    cr_assert(WaitUntil([&] { return fleet.IsReady(i); }, kFleetTimeout));
  }
  const auto pid = fleet.gateway(0).pid();
  rlimit limit = {kFewerThanInUse, kDescriptors};
  cr_assert_eq(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr), 0);
  fleet.StartGateway(kGateways - 1);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto before = ProcessorTime(pid);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const auto used = ProcessorTime(pid) - before;
  cr_expect_lt(used.count(), 0.6, "used %.2f s in 3 s", used.count());
  cr_expect_eq(CountLogLines(fleet, 0, "accepts no connections of peers"), 1);
  limit.rlim_cur = kDescriptors;
  cr_assert_eq(prlimit(pid, RLIMIT_NOFILE, &limit, nullptr), 0);
  cr_expect(WaitUntil([&] { return HasAllPeers(fleet, kGateways - 1); },
                      kFleetTimeout));
  cr_expect_eq(fleet.Call(0, "/book/1", "order-1").status, kOk);
}

}  // namespace flamingoyoke::integration
