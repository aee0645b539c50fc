#include "core/result.h"

#include <criterion/criterion.h>

#include <cerrno>
#include <new>
#include <optional>
#include <stdexcept>
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
  cr_assert_eq(error->kind, ErrorKind::kResourceRefused);
  cr_assert_neq(error->detail.find("temporarily unavailable"),
                std::string::npos, "%s", error->detail.c_str());
  std::optional<int> value;
  const auto same = CaptureInto(value, FailWithException);
  cr_assert(same);
  cr_assert_eq(same->detail, error->detail);
  cr_assert(!value);
}

// Guards against faults of the program that are waited for as if they passed by
// themselves, and against refusals that are not.
Test(result, only_refused_resources_are_told_from_internal_errors) {
  const auto kind_of = [](const std::exception& exception) {
    return ToError(exception).kind;
  };
  const auto system_error = [](int number) {
    return std::system_error(number, std::generic_category());
  };
  cr_assert(kind_of(std::bad_alloc()) == ErrorKind::kResourceRefused);
  cr_assert(kind_of(system_error(EMFILE)) == ErrorKind::kResourceRefused);
  cr_assert(kind_of(system_error(EACCES)) == ErrorKind::kInternal);
  cr_assert(kind_of(std::runtime_error("x")) == ErrorKind::kInternal);
}

}  // namespace flamingoyoke
