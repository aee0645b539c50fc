#include "daemon/process_limits.h"

#include <malloc.h>
#include <pthread.h>
#include <sys/resource.h>

#include <cstddef>

namespace flamingoyoke {
namespace {

// Each further arena reserves 64 MB of address space, one for each thread by
// default. Tasks rarely allocate at the same time.
constexpr int kMallocArenas = 1;
// The default is the soft stack limit, usually 8 MB for each thread.
constexpr std::size_t kThreadStackBytes = 1 << 20;

}  // namespace

auto LimitAddressSpace() -> void {
  mallopt(M_ARENA_MAX, kMallocArenas);
  pthread_attr_t attributes;
  if (pthread_attr_init(&attributes) != 0) {
    return;
  }
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  // Also applies to threads that libraries start.
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
}

auto RaiseDescriptorLimit() -> void {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace flamingoyoke
