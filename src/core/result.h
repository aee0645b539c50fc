#ifndef FLAMINGOYOKE_CORE_RESULT_H_
#define FLAMINGOYOKE_CORE_RESULT_H_

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "core/error_kind.h"

namespace flamingoyoke {

// An error with a message for operators: what is wrong, and the value that
// caused it.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;
};

// Returns the error that `exception` stands for: kResourceRefused if the system
// refused memory, a thread or a descriptor, otherwise kInternal. Thread-safe.
auto ToError(const std::exception& exception) -> Error;

// Returns whether a system call that failed with `error_number` was refused
// memory, a thread or a descriptor. Thread-safe.
auto IsResourceShortage(int error_number) -> bool;

template <typename T>
using Result = boost::leaf::result<T>;

// Creates an error to be returned from a function that returns a Result.
// Thread-safe.
inline auto Fail(ErrorKind kind, std::string detail) -> boost::leaf::error_id {
  return boost::leaf::new_error(Error{kind, std::move(detail)});
}

// Calls `function`, which returns a Result<T>, and stores its value in `out`.
// Returns the error, or nullopt on success. An exception becomes an error with
// its message. LEAF stores the error object only while such a
// handler is on the stack.
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
      [](const std::exception& exception) {
        return std::make_optional(ToError(exception));
      },
      [] {
        return std::optional<Error>(
            Error{ErrorKind::kInternal, "unknown error"});
      });
}

// Calls `function`, which returns a Result<void>, and returns its error, or
// nullopt on success. An exception becomes an error with its message.
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
      [](const std::exception& exception) {
        return std::make_optional(ToError(exception));
      },
      [] {
        return std::optional<Error>(
            Error{ErrorKind::kInternal, "unknown error"});
      });
}

}  // namespace flamingoyoke

#endif  // FLAMINGOYOKE_CORE_RESULT_H_
