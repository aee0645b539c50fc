#ifndef FLAMINGOYOKE_RUNTIME_RESOURCE_CHECK_H_
#define FLAMINGOYOKE_RUNTIME_RESOURCE_CHECK_H_

#include <cstddef>
#include <cstdint>

#include "core/result.h"

namespace flamingoyoke {

// What a part of the process is about to take from the system.
struct ResourceNeed {
  std::size_t threads = 0;
  std::size_t descriptors = 0;
  // Share of the user's limit on tasks that must stay unused, as its divisor. A
  // limit counts as 256 at least and as 512 at most. Several processes may
  // check at the same time, and each then takes what it was granted.
  std::size_t headroom_divisor = 16;
};

// Returns how many tasks must stay unused under a limit of the user on tasks.
// Precondition: `divisor` is positive. Thread-safe.
auto TaskHeadroom(std::uint64_t limit, std::size_t divisor) -> std::uint64_t;

// Checks that the system grants `need`: takes as many threads and descriptors,
// and releases them again. Call it before code that ends the process if it is
// refused one, such as libzmq. Fails with kResourceRefused. More processes than
// the headroom covers may still take what was released before the caller does.
// Waits about a millisecond for the kernel, 100 ms at most. Thread-safe.
auto CheckResources(const ResourceNeed& need) -> Result<void>;

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_RUNTIME_RESOURCE_CHECK_H_
