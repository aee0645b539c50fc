#include "runtime/resource_check.h"

#include <criterion/criterion.h>
#include <sys/resource.h>
#include <unistd.h>

#include <filesystem>
#include <iterator>

namespace flamingoyoke {
namespace {

constexpr uid_t kUnusedUser = 54321;
constexpr ResourceNeed kNeed{.threads = 3, .descriptors = 8};

// Sets a soft limit for the life of the object.
class SoftLimit {
 public:
  SoftLimit(__rlimit_resource resource, rlim_t value) : resource_(resource) {
    getrlimit(resource_, &before_);
    const rlimit limit{value, before_.rlim_max};
    cr_assert_eq(setrlimit(resource_, &limit), 0);
  }
  ~SoftLimit() { setrlimit(resource_, &before_); }
  SoftLimit(const SoftLimit&) = delete;
  auto operator=(const SoftLimit&) -> SoftLimit& = delete;

 private:
  __rlimit_resource resource_;
  rlimit before_{};
};

auto CountEntries(const char* folder) -> std::ptrdiff_t {
  return std::distance(std::filesystem::directory_iterator(folder), {});
}

auto Check() -> std::optional<Error> {
  return CaptureError([] { return CheckResources(kNeed); });
}

}  // namespace

// Guards against threads and descriptors that the check itself keeps.
Test(resource_check, releases_what_it_took) {
  const auto threads = CountEntries("/proc/self/task");
  const auto descriptors = CountEntries("/proc/self/fd");
  cr_assert_not(Check().has_value());
  cr_assert_eq(CountEntries("/proc/self/task"), threads);
  cr_assert_eq(CountEntries("/proc/self/fd"), descriptors);
}

// Guards against libraries that are used although they will be refused.
Test(resource_check, tells_refused_descriptors) {
  std::optional<Error> error;
  {
    const SoftLimit limit(RLIMIT_NOFILE, 6);
    error = Check();
  }
  cr_assert(error && error->kind == ErrorKind::kResourceRefused);
  cr_assert(error->detail.find("Too many open files") != std::string::npos);
  cr_assert(error->detail.find("descriptors 6") != std::string::npos);
}

// Guards against libraries that are used although they will be refused.
Test(resource_check, tells_refused_threads) {
  // The limit does not hold for root.
  if (geteuid() == 0) {
    cr_assert_eq(setuid(kUnusedUser), 0);
  }
  std::optional<Error> error;
  {
    const SoftLimit limit(RLIMIT_NPROC, 2);
    error = Check();
  }
  cr_assert(error && error->kind == ErrorKind::kResourceRefused);
  cr_assert(error->detail.find("tasks of the user 2") != std::string::npos);
  cr_assert_not(Check().has_value());
}

// Guards against a process that waits for ever under a high limit, since other
// software of the user has all but a few hundred tasks of it.
Test(resource_check, a_high_limit_needs_no_more_unused_tasks) {
  cr_assert_eq(TaskHeadroom(512, 16), 32);
  cr_assert_eq(TaskHeadroom(63'000, 16), 32);
  cr_assert_eq(TaskHeadroom(150, 16), 16);
  cr_assert_eq(TaskHeadroom(20, 16), 5);
}

}  // namespace flamingoyoke
