#include "runtime/system_limits.h"

#include <criterion/criterion.h>
#include <sys/resource.h>

namespace flamingoyoke {

// Guards against a start that doesn't tell which limits hold.
Test(system_limits, describes_the_limits_in_force) {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = 123;
  setrlimit(RLIMIT_NOFILE, &limit);
  const auto limits = ReadSystemLimits();
  cr_assert_eq(limits.descriptors.value(), 123);
  cr_assert(Describe({.user_tasks = 512, .descriptors = 123}) ==
            "tasks of the user 512, tasks of the control group unlimited, "
            "descriptors 123, address space unlimited");
}

// Guards against a limit of a control group that is looked for in a wrong file.
Test(system_limits, finds_the_control_group) {
  cr_assert(FindGroupTaskLimit("0::/user.slice/app\n") ==
            "/sys/fs/cgroup/user.slice/app/pids.max");
  cr_assert(FindGroupTaskLimit("5:cpu,cpuacct:/a\n4:pids:/b\n0::/c\n") ==
            "/sys/fs/cgroup/pids/b/pids.max");
  cr_assert(FindGroupTaskLimit("").empty());
  cr_assert(FindGroupTaskLimit("no colon\n5:cpu:/a\n").empty());
}

}  // namespace flamingoyoke
