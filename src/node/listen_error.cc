#include "node/listen_error.h"

#include <cerrno>

#include "runtime/system_limits.h"

namespace flamingoyoke {
namespace {

auto KindOf(int error_number) -> ErrorKind {
  if (error_number == EADDRINUSE) {
    return ErrorKind::kAddressInUse;
  }
  return IsResourceShortage(error_number) ? ErrorKind::kResourceRefused
                                          : ErrorKind::kSocketFailed;
}

}  // namespace

auto FailListen(const std::string& address,
                int error_number,
                const std::string& reason) -> boost::leaf::error_id {
  const auto kind = KindOf(error_number);
  const auto limits = kind == ErrorKind::kResourceRefused
                          ? " (" + Describe(ReadSystemLimits()) + ")"
                          : std::string();
  return Fail(kind, "cannot listen on " + address + ": " + reason + limits);
}

}  // namespace flamingoyoke
