#include "core/result.h"

#include <criterion/criterion.h>

#include <cerrno>
#include <optional>
#include <string>
#include <system_error>

namespace flamingoyoke {
namespace {

// Stands for a library that reports a refused thread or descriptor.
auto FailWithException() -> Result<int> {
  throw std::system_error(EAGAIN, std::generic_category(), "thread");
}

}  // namespace

// Guards against a process that ends with "unknown error" as its only reason.
Test(result, exceptions_keep_their_message) {
  const auto error = CaptureError([]() -> Result<void> {
    BOOST_LEAF_CHECK(FailWithException());
    return {};
  });
  cr_assert(error);
  cr_assert_eq(error->kind, ErrorKind::kInternal);
  cr_assert_neq(error->detail.find("temporarily unavailable"),
                std::string::npos, "%s", error->detail.c_str());
  std::optional<int> value;
  const auto same = CaptureInto(value, FailWithException);
  cr_assert(same);
  cr_assert_eq(same->detail, error->detail);
  cr_assert(!value);
}

}  // namespace flamingoyoke
