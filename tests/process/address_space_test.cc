#include <criterion/criterion.h>
#include <sys/resource.h>

#include <csignal>

#include "integration/support/published_fleet.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(address_space, .fini = &ChildProcess::KillAll, .timeout = 120);

// Memory of the smallest VMs that the fleet runs on.
constexpr rlim_t kSmallestVmBytes = 160'000'000;
constexpr int kOk = 200;

// Limits the address space of processes that the test starts.
class AddressSpaceLimit {
 public:
  explicit AddressSpaceLimit(rlim_t bytes) {
    getrlimit(RLIMIT_AS, &before_);
    const rlimit limit = {bytes, before_.rlim_max};
    cr_assert_eq(setrlimit(RLIMIT_AS, &limit), 0);
  }
  ~AddressSpaceLimit() { setrlimit(RLIMIT_AS, &before_); }
  AddressSpaceLimit(const AddressSpaceLimit&) = delete;
  auto operator=(const AddressSpaceLimit&) -> AddressSpaceLimit& = delete;

 private:
  rlimit before_{};
};

}  // namespace

// Guards against a process that doesn't start, or ends later, since it reserves
// far more address space than the memory of its VM.
Test(address_space, gateways_run_within_the_memory_of_the_smallest_vm) {
  PublishedStoreFleet fleet(2);
  fleet.WaitForAll();
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    fleet.gateway(i).Signal(SIGKILL);
    fleet.gateway(i).WaitForExit(kFleetTimeout);
    const AddressSpaceLimit limit(kSmallestVmBytes);
    fleet.StartGateway(i);
  }
  fleet.WaitForAll();
  for (int i = 0; i < 100; ++i) {
    const auto gateway = static_cast<std::size_t>(i) % fleet.gateways();
    fleet.gateway(gateway).Signal(SIGHUP);
    cr_assert_eq(
        fleet.Call(gateway, "/book/1", "order-" + std::to_string(i)).status,
        kOk);
  }
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    fleet.gateway(i).Signal(SIGTERM);
  }
  for (std::size_t i = 0; i < fleet.gateways(); ++i) {
    cr_assert_eq(fleet.gateway(i).WaitForExit(kFleetTimeout), 0);
  }
}

}  // namespace flamingoyoke::integration
