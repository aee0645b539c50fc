#include "node/listen_error.h"

#include <cerrno>

namespace flamingoyoke {

auto FailListen(const std::string& address,
                int error_number,
                const std::string& reason) -> boost::leaf::error_id {
  return Fail(error_number == EADDRINUSE ? ErrorKind::kAddressInUse
                                         : ErrorKind::kSocketFailed,
              "cannot listen on " + address + ": " + reason);
}

}  // namespace flamingoyoke
