#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <string>

#include "integration/support/published_fleet.h"
#include "integration/support/wait_until.h"

namespace flamingoyoke::integration {
namespace {

TestSuite(refused_resources, .fini = &ChildProcess::KillAll, .timeout = 120);

auto ReadLog(const PublishedStoreFleet& fleet, std::size_t gateway)
    -> std::string {
  std::ifstream file(fleet.folder() + "/gateway-" + std::to_string(gateway) +
                     ".log");
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

// Guards against a process that doesn't tell what limits hold for it, and what
// it takes of them.
Test(refused_resources, a_gateway_tells_its_limits_and_what_it_uses) {
  PublishedStoreFleet fleet(1, 20, 1);
  fleet.WaitForAll();
  cr_assert(ReadLog(fleet, 0).find("limits: tasks of the user ") !=
            std::string::npos);
  const auto admin = fleet.AddressesOf(0).back();
  const auto has_metrics = [&] {
    const auto metrics =
        fleet.http().Send({.server = admin, .target = "/metrics"}).body;
    return metrics.find("\nflamingoyoke_process_threads ") !=
               std::string::npos &&
           metrics.find("\nflamingoyoke_process_descriptors ") !=
               std::string::npos;
  };
  cr_assert(WaitUntil(has_metrics, kFleetTimeout));
}

}  // namespace flamingoyoke::integration
