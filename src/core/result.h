#ifndef FLAMINGOYOKE_CORE_RESULT_H_
#define FLAMINGOYOKE_CORE_RESULT_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <utility>

#include "core/error_kind.h"

namespace flamingoyoke {

// An error with the detail that a person needs to act on it: what was wrong
// and with which value.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

template <typename T>
using Result = boost::leaf::result<T>;

// Returns the failure to return from a function whose type is a Result.
// Thread-safe.
inline auto Fail(ErrorKind kind, std::string detail) -> boost::leaf::error_id {
  return boost::leaf::new_error(Error{kind, std::move(detail)});
}

// Calls `function`, whose type is Result<T>, and passes its value to `out`.
// Returns the error, or nothing on success. LEAF keeps the error object only
// while such a handler is on the stack.
template <typename T, typename Function>
auto CaptureInto(std::optional<T>& out, Function&& function)
    -> std::optional<Error> {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<Error>> {
        auto result = std::forward<Function>(function)();
        if (!result) {
          return result.error();
        }
        out.emplace(std::move(*result));
        return std::optional<Error>();
      },
      [](const Error& error) { return std::optional<Error>(error); },
      [] {
        return std::optional<Error>(
            Error{ErrorKind::kInternal, "an error without a description"});
      });
}

// Calls `function`, whose type is Result<void>, and returns its error, or
// nothing on success.
template <typename Function>
auto CaptureError(Function&& function) -> std::optional<Error> {
  return boost::leaf::try_handle_all(
      [&]() -> Result<std::optional<Error>> {
        auto result = std::forward<Function>(function)();
        if (!result) {
          return result.error();
        }
        return std::optional<Error>();
      },
      [](const Error& error) { return std::optional<Error>(error); },
      [] {
        return std::optional<Error>(
            Error{ErrorKind::kInternal, "an error without a description"});
      });
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_RESULT_H_
