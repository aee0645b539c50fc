#include "core/result.h"

#include <cerrno>
#include <new>
#include <system_error>

namespace flamingoyoke {

auto ToError(const std::exception& exception) -> Error {
  if (dynamic_cast<const std::bad_alloc*>(&exception) != nullptr) {
    return {ErrorKind::kResourceRefused, "the system refused memory"};
  }
  const auto* refusal = dynamic_cast<const std::system_error*>(&exception);
  const bool is_shortage =
      refusal != nullptr && IsResourceShortage(refusal->code().value());
  Error error;
  error.kind = is_shortage ? ErrorKind::kResourceRefused : ErrorKind::kInternal;
  error.detail = exception.what();
  return error;
}

auto IsResourceShortage(int error_number) -> bool {
  switch (error_number) {
    case EAGAIN:  // A thread.
    case EMFILE:
    case ENFILE:
    case ENOMEM:
    case ENOBUFS:
      return true;
    default:
      return false;
  }
}

}  // namespace flamingoyoke
