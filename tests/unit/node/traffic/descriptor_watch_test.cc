#include "node/traffic/descriptor_watch.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

namespace flamingoyoke {

// Guards against parts of the limit at the start while another is in force.
Test(descriptor_watch, follows_the_limit_in_force) {
  ConnectionPart callers(Part::kTraffic, DescriptorUse::kCallers,
                         kUnlimitedConnections);
  ConnectionPart targets(Part::kTraffic, DescriptorUse::kTargets,
                         kUnlimitedConnections);
  DescriptorWatch watch(Part::kTraffic, 1500);
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = 256;
  setrlimit(RLIMIT_NOFILE, &limit);
  watch.Update(callers, targets);
  cr_expect_eq(callers.limit(), 40);
  cr_expect_eq(targets.limit(), 40);
  limit.rlim_cur = 128;
  setrlimit(RLIMIT_NOFILE, &limit);
  watch.Update(callers, targets);
  cr_expect_eq(callers.limit(), 16);
  cr_expect_eq(targets.limit(), 16);
}

}  // namespace flamingoyoke
