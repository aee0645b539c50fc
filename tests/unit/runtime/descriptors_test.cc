#include "runtime/descriptors.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <vector>

namespace flamingoyoke {

// Guards against a count that needs a descriptor, or that goes by the highest
// number in use.
Test(descriptors, counts_free_ones_while_few_are_left) {
  const rlimit limit = {64, 64};
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
  cr_assert_eq(ReadDescriptorLimit().value(), 64);
  cr_assert_eq(CountFreeDescriptors(8), 8);
  std::vector<int> opened;
  for (int next = dup(STDIN_FILENO); next >= 0; next = dup(STDIN_FILENO)) {
    opened.push_back(next);
  }
  cr_assert_eq(CountFreeDescriptors(8), 0);
  close(opened.front());
  close(opened[2]);
  cr_assert_eq(CountFreeDescriptors(8), 2);
}

}  // namespace flamingoyoke
