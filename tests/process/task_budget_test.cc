#include <criterion/criterion.h>

#include <cstddef>
#include <filesystem>
#include <iterator>
#include <string>

#include "integration/support/published_fleet.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(task_budget, .fini = &ChildProcess::KillAll, .timeout = 120);

// The budget in docs/CAPACITY.md.
constexpr std::ptrdiff_t kMaxTasks = 5;

}  // namespace

// Guards against VMs that don't start, or end, under a limit on tasks that
// holds for the threads of all of them.
Test(task_budget, a_gateway_has_few_threads) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    const std::filesystem::directory_iterator tasks(
        "/proc/" + std::to_string(fleet.gateway(i).pid()) + "/task");
    const auto count = std::distance(begin(tasks), end(tasks));
    cr_assert_leq(count, kMaxTasks, "gateway %zu has %td threads", i, count);
  }
}

}  // namespace flamingoyoke::integration
