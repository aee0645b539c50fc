#include "runtime/descriptors.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <limits>

namespace flamingoyoke {

auto OwnedDescriptor::Reset() -> void {
  if (is_open()) {
    close(Release());
  }
}

auto ReadDescriptorLimit() -> std::optional<std::uint64_t> {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return limit.rlim_cur;
}

auto CountFreeDescriptors(std::size_t most) -> std::size_t {
  const auto limit = ReadDescriptorLimit();
  if (!limit || *limit > std::numeric_limits<int>::max()) {
    return most;
  }
  // The system hands out the lowest free number. The search starts at the
  // highest, so it is short unless descriptors are scarce.
  std::size_t free = 0;
  for (int number = static_cast<int>(*limit) - 1; number >= 0 && free < most;
       --number) {
    free += fcntl(number, F_GETFD) < 0 ? 1 : 0;
  }
  return free;
}

}  // namespace flamingoyoke
